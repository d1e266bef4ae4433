#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "kernel/service.h"

using namespace egretmount;

namespace {

class NamedService : public kernel::Service
{
public:
    NamedService(std::string name, std::string &destroyed)
        : m_name(std::move(name))
        , m_destroyed(destroyed)
    { }
    ~NamedService() override { m_destroyed += m_name; }

    std::string_view name() const override { return m_name; }
    void start() override { }

private:
    std::string m_name;
    std::string &m_destroyed;
};

} // namespace

// Guards against a request in hand that is destroyed after the service that it uses, when the
// process exits.
TEST_CASE("services are destroyed in the reverse order of their registration")
{
    std::string destroyed;
    {
        kernel::ServiceRegistry registry;
        for (const char *name : { "a", "b", "c" })
            registry.add(std::make_unique<NamedService>(name, destroyed));
    }
    CHECK(destroyed == "cba");
}
