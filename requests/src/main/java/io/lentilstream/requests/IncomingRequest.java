package io.lentilstream.requests;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.Urgency;

/**
 * Is a request as it arrives at this entry VM, from a caller or from a peer.
 *
 * @param id the correlation id, unique among the requests in progress
 * @param service the team and service that the request names
 * @param urgency the urgency that the caller asks for; the policy of the service limits
 * it
 * @param deadline the instant after which the answer is useless
 * @param repeatable whether the caller allows a second run; the policy can forbid it
 * @param forwarded whether a peer forwarded the request; it is not forwarded again
 * @param declaredMillis milliseconds that the caller expects the run to take, or 0; it
 * only selects the group of requests whose run time is learned together
 */
public record IncomingRequest(RequestId id, ServiceKey service, Urgency urgency, MonotonicTime deadline,
		boolean repeatable, boolean forwarded, long declaredMillis) {
}
