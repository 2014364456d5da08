#ifndef HEATHERSADDLE_DAEMON_DECODE_H
#define HEATHERSADDLE_DAEMON_DECODE_H

#include "heathersaddle/control/Actions.h"
#include "heathersaddle/net/Message.h"

namespace heathersaddle::daemon {

using HttpResult = base::Expected<net::ClientResponse>;

/// Answers of the platform, of workers and of peers as the node takes them.
/// What is not in the protocol becomes an error, never a guess.
base::Expected<std::uint64_t> decodeAppend(const HttpResult &R);
base::Expected<control::ReadResult> decodeRead(const HttpResult &R);

/// The host list or its changes, and the version to ask from next time; a
/// platform without versions leaves it empty.
struct HostsReply {
  std::string Version;
  control::HostChanges Changes;
};
base::Expected<HostsReply> decodeHosts(const HttpResult &R);
/// Also for peers. A status of 409 is the error Conflict whose message is the
/// body, since that names the worker's epoch.
base::Expected<boost::json::value>
decodeReply(const HttpResult &R, std::string_view Step, std::string_view Peer);

} // namespace heathersaddle::daemon

#endif
