package io.lentilstream.benchmarks.slopes;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a wrong line, from which the capacity page would compute wrong figures.
 */
class LinearFitTests {

	@Test
	void findsTheLineThroughPointsOnIt() {
		LinearFit fit = LinearFit.of(List.of(new SlopePoint(1, 5), new SlopePoint(2, 8), new SlopePoint(10, 32)));
		assertThat(fit.slope()).isCloseTo(3, within(1e-9));
		assertThat(fit.intercept()).isCloseTo(2, within(1e-9));
	}

	@Test
	void minimizesTheSquaredErrorOfPointsOffTheLine() {
		LinearFit fit = LinearFit.of(List.of(new SlopePoint(0, 0), new SlopePoint(1, 3), new SlopePoint(2, 0)));
		assertThat(fit.slope()).isCloseTo(0, within(1e-9));
		assertThat(fit.intercept()).isCloseTo(1, within(1e-9));
	}

	@Test
	void refusesPointsOfOneSize() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> LinearFit.of(List.of(new SlopePoint(4, 1), new SlopePoint(4, 2))));
	}

}
