package io.lentilstream.requests;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.Urgency;

/**
 * A request as received by this entry VM from a caller or peer.
 *
 * @param id the correlation id, unique among the requests in progress
 * @param service the team and service that the request addresses
 * @param urgency the requested urgency; limited by the policy of the service
 * @param deadline the instant by which the caller needs the answer
 * @param repeatable whether the caller allows the request to run more than once; the
 * policy may forbid it
 * @param forwarded whether a peer forwarded the request; it is not forwarded again
 * @param declaredMillis the run time that the caller expects, in milliseconds, or 0; it
 * only selects the group of requests for the run time statistics
 */
public record IncomingRequest(RequestId id, ServiceKey service, Urgency urgency, MonotonicTime deadline,
		boolean repeatable, boolean forwarded, long declaredMillis) {
}
