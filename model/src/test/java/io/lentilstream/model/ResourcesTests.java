package io.lentilstream.model;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an amount that exceeds a VM in a single component does not fit.
 */
class ResourcesTests {

	private static final Resources VM = new Resources(32_000, 125_000, 2);

	@Test
	void doesNotFitIfOnePartExceedsTheVm() {
		assertThat(new Resources(1, 1, 3).fitsWithin(VM)).isFalse();
		assertThat(new Resources(32_001, 1, 0).fitsWithin(VM)).isFalse();
		assertThat(new Resources(1, 125_001, 0).fitsWithin(VM)).isFalse();
		assertThat(VM.fitsWithin(VM)).isTrue();
	}

	@Test
	void takesTheLargestShareAsDominant() {
		assertThat(new Resources(16_000, 1, 2).dominantShareOf(VM)).isEqualTo(1.0);
	}

}
