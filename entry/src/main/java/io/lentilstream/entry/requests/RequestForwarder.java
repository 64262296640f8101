package io.lentilstream.entry.requests;

import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.IncomingRequest;

/**
 * Forwards requests to peer entry VMs.
 */
@FunctionalInterface
public interface RequestForwarder {

	/**
	 * Forwards a request.
	 * @param peer the entry VM to send it to
	 * @param attempt the id of this attempt; a second attempt at the same peer has
	 * another id
	 * @param request the request
	 * @param content its content
	 * @param deadline the instant at which the attempt ends without a reply
	 * @return the outcome; never completes exceptionally
	 */
	CompletableFuture<ForwardOutcome> forward(VmId peer, RequestId attempt, IncomingRequest request,
			RequestContent content, MonotonicTime deadline);

}
