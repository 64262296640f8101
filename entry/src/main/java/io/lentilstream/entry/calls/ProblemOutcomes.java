package io.lentilstream.entry.calls;

import io.lentilstream.entry.http.ProblemDetails;
import io.lentilstream.model.RequestOutcome;

/**
 * Turns problems into answers that can also come from a peer.
 */
final class ProblemOutcomes {

	private ProblemOutcomes() {
	}

	static RequestOutcome of(ProblemDetails problem) {
		return new RequestOutcome.Answered(problem.status(), ProblemDetails.MEDIA_TYPE, problem.toJson());
	}

}
