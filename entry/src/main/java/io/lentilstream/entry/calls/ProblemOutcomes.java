package io.lentilstream.entry.calls;

import io.lentilstream.entry.http.ProblemDetails;
import io.lentilstream.model.RequestOutcome;

/**
 * Conversion of problems to outcomes, which peers can also send in their replies.
 */
final class ProblemOutcomes {

	private ProblemOutcomes() {
	}

	static RequestOutcome of(ProblemDetails problem) {
		return new RequestOutcome.Answered(problem.status(), ProblemDetails.MEDIA_TYPE, problem.toJson());
	}

}
