#ifndef HEATHERSADDLE_DAEMON_DECODE_H
#define HEATHERSADDLE_DAEMON_DECODE_H

#include "heathersaddle/control/Actions.h"
#include "heathersaddle/net/Message.h"

namespace heathersaddle::daemon {

using HttpResult = base::Expected<net::ClientResponse>;

/// These functions decode responses of the platform, of workers and of peers
/// into the node's types. Anything outside the protocol becomes an error.
base::Expected<std::uint64_t> decodeAppend(const HttpResult &R);
base::Expected<control::ReadResult> decodeRead(const HttpResult &R);

/// The full host list or its changes, and the version to pass as `since` in the
/// next request; empty if the platform has no versions.
struct HostsReply {
  std::string Version;
  control::HostChanges Changes;
};
base::Expected<HostsReply> decodeHosts(const HttpResult &R);
/// Decodes a response of a worker or peer. Status 409 becomes the error
/// Conflict with the body as its message, since the body names the worker's
/// epoch.
base::Expected<boost::json::value>
decodeReply(const HttpResult &R, std::string_view Step, std::string_view Peer);

} // namespace heathersaddle::daemon

#endif
