package io.lentilstream.entry.requests;

import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.IncomingRequest;

/**
 * A forwarder of requests to peer entry VMs.
 */
@FunctionalInterface
public interface RequestForwarder {

	/**
	 * Forwards a request.
	 * @param peer the entry VM to send it to
	 * @param attempt the id of this attempt, unique among the attempts at the peer
	 * @param request the request
	 * @param content the content of the request
	 * @param deadline the instant at which the attempt times out
	 * @return the outcome; never completes exceptionally
	 */
	CompletableFuture<ForwardOutcome> forward(VmId peer, RequestId attempt, IncomingRequest request,
			RequestContent content, MonotonicTime deadline);

}
