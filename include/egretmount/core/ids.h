#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace egretmount {

/// @brief A strongly typed string identifier; identifiers with different tags do not convert into
///        each other.
template<typename Tag>
struct Id
{
    std::string value;

    Id() = default;
    explicit Id(std::string text)
        : value(std::move(text))
    { }

    bool isEmpty() const { return value.empty(); }

    friend bool operator==(const Id &a, const Id &b) { return a.value == b.value; }
    friend bool operator!=(const Id &a, const Id &b) { return !(a == b); }
    friend bool operator<(const Id &a, const Id &b) { return a.value < b.value; }
};

using InstanceId = Id<struct InstanceTag>;
using ZoneId = Id<struct ZoneTag>;
using TeamId = Id<struct TeamTag>;
using ServiceId = Id<struct ServiceTag>;
using TargetId = Id<struct TargetTag>;
using RequestId = Id<struct RequestTag>;

/// @brief Number of a run of an instance; a restarted process has a higher one.
using Incarnation = std::uint64_t;

/// @brief Version of a fleet document; the highest wins.
using ConfigVersion = std::uint64_t;

using TokenCount = std::int64_t;

/// @brief Id of a part of a prompt. Requests whose prompts share a part state the same id.
using PromptPartId = std::uint64_t;

/// @brief One run of an instance: the time from a start of its process to the end.
struct InstanceRun
{
    InstanceId instance;
    Incarnation incarnation = 0;

    friend bool operator==(const InstanceRun &a, const InstanceRun &b)
    {
        return a.instance == b.instance && a.incarnation == b.incarnation;
    }
    friend bool operator!=(const InstanceRun &a, const InstanceRun &b) { return !(a == b); }
    friend bool operator<(const InstanceRun &a, const InstanceRun &b)
    {
        return std::tie(a.instance, a.incarnation) < std::tie(b.instance, b.incarnation);
    }
};

} // namespace egretmount

template<typename Tag>
struct std::hash<egretmount::Id<Tag>>
{
    std::size_t operator()(const egretmount::Id<Tag> &id) const
    {
        return std::hash<std::string>()(id.value);
    }
};
