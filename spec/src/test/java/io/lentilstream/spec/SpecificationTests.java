package io.lentilstream.spec;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the commands of the Alloy specification in the scopes that it states. Tests that
 * the properties hold, that the models have runs, and that each precondition is needed
 * for a property.
 */
class SpecificationTests {

	private static final String GUARD = "-- guard:";

	@ParameterizedTest
	@CsvSource({ "tasks, oneValidOwner", "tasks, singlePlacement", "tasks, capacity", "tasks, resumeOnce",
			"requests, atMostOnce", "requests, trueNotRun", "settings, revisionsNeverGoBack",
			"settings, acceptedChangesStay" })
	void propertyHolds(String model, String property) throws IOException {
		assertThat(isSatisfiable(read(model), property)).as("counterexample found").isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "tasks, resumedByTheNextOwner", "tasks, lostReplySettled", "requests, sealedAndRunByTheNextOwner",
			"requests, toldNotRun", "settings, inForceEverywhere" })
	void modelHasARun(String model, String run) throws IOException {
		assertThat(isSatisfiable(read(model), run)).as("run found").isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "tasks, oneValidOwner, commit-deadline", "tasks, oneValidOwner, takeover",
			"tasks, singlePlacement, worker-epoch", "tasks, singlePlacement, fencing",
			"tasks, singlePlacement, one-attempt", "tasks, singlePlacement, stop-confirmed",
			"tasks, singlePlacement, task-lease", "tasks, singlePlacement, command-age", "tasks, capacity, capacity",
			"tasks, resumeOnce, settled", "requests, atMostOnce, fencing", "requests, atMostOnce, recorded-before-sent",
			"requests, atMostOnce, seal-refuses", "requests, atMostOnce, seal-only-what-did-not-run",
			"requests, atMostOnce, sealed-before-returned", "requests, trueNotRun, not-run-only-when-accepted",
			"settings, revisionsNeverGoBack, higher-revision", "settings, acceptedChangesStay, compare-and-swap" })
	void propertyFailsWithoutThePrecondition(String model, String property, String guard) throws IOException {
		List<String> lines = read(model).lines().toList();
		List<String> mutant = lines.stream().filter((line) -> !line.endsWith(GUARD + guard)).toList();
		assertThat(mutant).as("one line removed").hasSize(lines.size() - 1);
		assertThat(isSatisfiable(String.join("\n", mutant), property)).as("counterexample found").isTrue();
	}

	private static String read(String model) throws IOException {
		try (InputStream in = SpecificationTests.class.getResourceAsStream(model + ".als")) {
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private static boolean isSatisfiable(String source, String commandLabel) {
		CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, source);
		Command command = module.getAllCommands()
			.stream()
			.filter((candidate) -> candidate.label.equals(commandLabel))
			.findFirst()
			.orElseThrow();
		return TranslateAlloyToKodkod
			.execute_command(A4Reporter.NOP, module.getAllReachableSigs(), command, new A4Options())
			.satisfiable();
	}

}
