#include "announcer.h"

#include "timers.h"

namespace daisyrelay {

static constexpr Duration AnnounceInterval = std::chrono::milliseconds(250);
static constexpr Duration AnnounceTimeout = std::chrono::milliseconds(500);

Announcer::Announcer(boost::asio::io_context &context, const StandinOptions &options, const Faults &faults,
    std::function<std::string()> buildBody)
    : context_(context), options_(options), faults_(faults), buildBody_(std::move(buildBody))
{
}

void Announcer::announce()
{
    callAfter(context_, AnnounceInterval, [this]() { announce(); });
    if (faults_.isIsolated || options_.entries.empty()) {
        return;
    }
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/backends/" + options_.id.value;
    request.body = buildBody_();
    const Endpoint entry = options_.entries[nextEntry_++ % options_.entries.size()];
    connection_ = std::make_unique<HttpConnection>(context_);
    connection_->connect(entry, AnnounceTimeout, [this, request](bool connected) {
        if (connected) {
            connection_->request(request, AnnounceTimeout, [](const std::optional<HttpResponse> &) {});
        }
    });
}

} // namespace daisyrelay
