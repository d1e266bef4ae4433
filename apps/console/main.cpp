// The operators' console: forms that make the next fleet document.
//
// The console keeps nothing. A draft travels in the forms, and the platform's document is read anew
// for every page, so a change that another operator has published meanwhile shows as a conflict.

#include <memory>

#include <Poco/Net/HTMLForm.h>
#include <glog/logging.h>

#include <egretmount/config/edit.h>

#include "html.h"
#include "http/server.h"
#include "kernel/daemon.h"
#include "kernel/settings.h"
#include "platform/platform_client.h"

namespace {

using namespace egretmount;
using namespace egretmount::console;
using Poco::Net::HTTPResponse;

constexpr const char *htmlType = "text/html; charset=utf-8";
constexpr std::size_t maxFormBytes = 8 * config::maxDocumentBytes;
constexpr const char *keyPrefix = "key.";

const std::vector<config::SectionSpec> &settingsSpecs()
{
    using config::ValueKind;
    static const std::vector<config::SectionSpec> specs {
        { "console",
          false,
          {
              { "address", ValueKind::Address, "", "127.0.0.1:7100", 0, 0, "", false,
                "Address of the console's pages." },
              { "platformAddress", ValueKind::Address, "", "127.0.0.1:7000", 0, 0, "", false,
                "Address of the platform." },
          } },
    };
    return specs;
}

ConfigVersion versionOf(const std::string &text)
{
    const tl::expected<config::IniText, config::IniError> ini = config::readIni(text);
    const config::IniSection *fleet = ini ? ini->find("fleet") : nullptr;
    const config::SectionReader reader(fleet, config::fleetSpecs().front());
    return static_cast<ConfigVersion>(reader.integer("version"));
}

using Parsed = tl::expected<config::FleetDocument, std::vector<config::Problem>>;

class ConsoleService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "console";

    ConsoleService(std::string address, std::string platformAddress)
        : m_address(std::move(address))
        , m_platformAddress(std::move(platformAddress))
    { }

    std::string_view name() const override { return serviceName; }

    void start() override
    {
        using Method = void (ConsoleService::*)(http::Exchange &, const Poco::Net::HTMLForm &);
        const auto post = [this](const char *path, Method method) {
            m_server.route("POST", path, [this, method](http::Exchange &exchange) {
                servePost(exchange, method);
            });
        };
        m_server.route("GET", "/", [this](http::Exchange &exchange) { showInForce(exchange); });
        post("/continue", &ConsoleService::showDraft);
        post("/state", &ConsoleService::changeState);
        post("/edit", &ConsoleService::showForm);
        post("/set", &ConsoleService::setSection);
        post("/remove", &ConsoleService::removeSection);
        post("/review", &ConsoleService::reviewDraft);
        post("/download", &ConsoleService::download);
        m_server.start(m_address);
        LOG(INFO) << "console: listening address=" << m_address;
    }

    void stop() override { m_server.stop(); }

private:
    std::string inForce() const
    {
        return platform::readFleet(m_platformAddress, 0, Milliseconds()).value_or("");
    }

    static void send(http::Exchange &exchange, const PageHead &head, const std::string &content)
    {
        exchange.response().set(
            "Content-Security-Policy",
            "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'");
        exchange.response().set("Cache-Control", "no-store");
        exchange.send(HTTPResponse::HTTP_OK, htmlType, page(head, content));
    }

    static void sendFailure(http::Exchange &exchange, const std::string &reason)
    {
        send(exchange, { "The platform cannot be read", reason, true },
             "<p>Drafts are not lost: go back and try again.</p>");
    }

    void servePost(http::Exchange &exchange,
                   void (ConsoleService::*method)(http::Exchange &, const Poco::Net::HTMLForm &))
    {
        Poco::Net::HTMLForm form;
        form.setValueLengthLimit(maxFormBytes);
        form.load(exchange.request(), exchange.request().stream());
        try {
            (this->*method)(exchange, form);
        } catch (const std::exception &error) {
            sendFailure(exchange, error.what());
        }
    }

    // A draft is the version behind the one that it started from, however often it was changed. So
    // a document that another operator publishes meanwhile makes it a conflict, never lost.
    std::string settleVersion(const std::string &changed, const std::string &draft) const
    {
        const ConfigVersion start = versionOf(draft);
        const ConfigVersion version = start == versionOf(inForce()) ? start + 1 : start;
        tl::expected<config::IniText, config::IniError> ini = config::readIni(changed);
        if (!ini)
            return changed;
        config::setValue(*ini, "fleet", "version", std::to_string(version));
        return config::writeIni(*ini);
    }

    void showInForce(http::Exchange &exchange)
    {
        try {
            showOverview(exchange, inForce(), "This document is in force.");
        } catch (const std::exception &error) {
            sendFailure(exchange, error.what());
        }
    }

    static void showOverview(http::Exchange &exchange, const std::string &draft,
                             const std::string &notice)
    {
        const tl::expected<config::IniText, config::IniError> ini = config::readIni(draft);
        if (!ini)
            return send(exchange,
                        { "Fleet", "the document is not INI: " + ini.error().message, true }, "");
        send(exchange, { "Fleet", notice, false }, overview(*ini, draft));
    }

    void showDraft(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        showOverview(exchange, form.get("draft"), "This is a draft; nothing is published.");
    }

    void changeState(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        const bool isOut = form.has("out");
        const tl::expected<std::string, config::Problem> next =
            config::withState(form.get("draft"), form.get(isOut ? "out" : "back"), isOut);
        if (!next)
            return send(exchange, { "Fleet", "", false }, problemList({ next.error() }));
        showReview(exchange, settleVersion(*next, form.get("draft")));
    }

    void showForm(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        const std::string name = form.get("section");
        const std::string kind = name.substr(0, name.find('.'));
        const tl::expected<config::IniText, config::IniError> ini =
            config::readIni(form.get("draft"));
        for (const config::SectionSpec &spec : config::fleetSpecs()) {
            if (spec.kind == kind && ini)
                return send(exchange, { "Edit " + kind, "", false },
                            sectionForm(spec, ini->find(name), form.get("draft")));
        }
        send(exchange, { "Edit", "there is nothing of that kind", true }, "");
    }

    void setSection(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        tl::expected<config::IniText, config::IniError> ini = config::readIni(form.get("draft"));
        if (!ini)
            return send(exchange, { "Fleet", "the draft is not INI", true }, "");
        const std::string section = form.get("kind") + "." + form.get("name");
        for (const std::pair<std::string, std::string> &field : form) {
            const bool isKey =
                field.first.compare(0, std::string(keyPrefix).size(), keyPrefix) == 0;
            if (isKey && !field.second.empty())
                config::setValue(*ini, section, field.first.substr(std::string(keyPrefix).size()),
                                 field.second);
        }
        showReview(exchange, settleVersion(config::writeIni(*ini), form.get("draft")));
    }

    void removeSection(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        tl::expected<config::IniText, config::IniError> ini = config::readIni(form.get("draft"));
        if (!ini || !config::removeSection(*ini, form.get("section")))
            return send(exchange, { "Fleet", "there is no such section", true }, "");
        showReview(exchange, settleVersion(config::writeIni(*ini), form.get("draft")));
    }

    void reviewDraft(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        showReview(exchange, form.get("draft"));
    }

    void showReview(http::Exchange &exchange, const std::string &draft)
    {
        const std::string present = inForce();
        const Parsed before = config::parseFleetDocument(present, "document in force");
        const Parsed after = config::parseFleetDocument(draft, "draft");
        if (!after)
            return send(exchange, { "The draft is not valid", "", false },
                        problemList(after.error()));
        if (!before)
            return send(exchange, { "The document in force is not valid", "", false },
                        problemList(before.error()));
        send(exchange, { "Review of version " + std::to_string(after->version), "", false },
             reviewContent(present, draft, config::review(*before, *after)));
    }

    void download(http::Exchange &exchange, const Poco::Net::HTMLForm &form)
    {
        const std::string draft = form.get("draft");
        const Parsed before = config::parseFleetDocument(inForce(), "document in force");
        const Parsed after = config::parseFleetDocument(draft, "draft");
        if (!before || !after || !config::review(*before, *after).isSafe())
            return showReview(exchange, draft);
        exchange.response().set("Content-Disposition", "attachment; filename=\"fleet-"
                                                           + std::to_string(after->version)
                                                           + ".ini\"");
        exchange.send(HTTPResponse::HTTP_OK, "text/plain; charset=utf-8", draft);
    }

    std::string m_address;
    std::string m_platformAddress;
    http::Server m_server;
};

} // namespace

int main(int argc, char **argv)
{
    kernel::captureStopSignals();
    const kernel::Settings settings = kernel::Settings::loadOrExit(
        argc, argv, "Operators' console of egretmount.", settingsSpecs());
    const config::SectionReader reader = settings.section("console");
    kernel::Loop loop;
    kernel::Registry registry;
    registry.add(
        std::make_unique<ConsoleService>(reader.text("address"), reader.text("platformAddress")));
    return kernel::runDaemon(loop, registry);
}
