package io.lentilstream.model;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests that ids which would change the path of a store key or URL are refused.
 */
class IdentifiersTests {

	@ParameterizedTest
	@ValueSource(strings = { "a", "10.0.0.1:80", "print-prep_2" })
	void acceptsLettersDigitsAndPunctuationOfAddresses(String text) {
		assertThat(new TeamId(text).value()).isEqualTo(text);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "a/b", "..", ".", "a b", "a\n", "ä" })
	void refusesTextThatCouldLeaveItsPath(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> new TeamId(text));
	}

}
