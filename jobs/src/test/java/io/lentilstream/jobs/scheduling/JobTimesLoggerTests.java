package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

class JobTimesLoggerTests {

	private static final Pattern PHASE = Pattern.compile("(?:[a-z]+=|earlier-term, |unknown, )(\\d+)");

	private final VirtualWorld world = new VirtualWorld(5);

	@Test
	void jobsThatWaitForRoomAreExplainedToWithin5Percent() {
		this.world.addWorker("w0");
		this.world.takeOver();
		for (int i = 0; i < 20; i++) {
			this.world.submit("job-" + i, 0, VirtualWorld.step(4, 2000, 400), VirtualWorld.step(2, 1000, 300, 0));
		}
		this.world.clock.runFor(20000);
		List<String> lines = ended();
		assertThat(lines).hasSize(20).allSatisfy(JobTimesLoggerTests::assertExplained);
		assertThat(lines.get(19)).contains("late, true", "room=");
	}

	@Test
	void runThatIsRepeatedAndTheTermBeforeATakeoverAreTold() {
		this.world.addWorker("w0");
		this.world.takeOver();
		JobSubmission job = this.world.submit("job", 0, VirtualWorld.step(1, 1000, 1000));
		this.world.clock.runFor(500);
		this.world.workers.get("w0").crash();
		this.world.workers.get("w0").restart();
		this.world.clock.runFor(300);
		this.world.takeOver();
		this.world.clock.runFor(20000);
		assertThat(ended()).hasSize(1).allSatisfy((line) -> {
			assertExplained(line);
			assertThat(line).contains(job.id().value(), "earlier-term, 8");
		});
	}

	@Test
	void waitForASilentVmAfterATakeoverIsNotAWaitForRoom() {
		this.world.addWorker("w0");
		this.world.addWorker("w1");
		this.world.takeOver();
		this.world.submit("job", 0, VirtualWorld.step(8, 1000, 1000));
		this.world.clock.runFor(300);
		this.world.workers.get("w0").crash();
		this.world.takeOver();
		this.world.clock.runFor(40000);
		assertThat(ended()).hasSize(1).allSatisfy((line) -> {
			assertExplained(line);
			assertThat(line).containsPattern("takeover=\\d{4}");
		});
	}

	@Test
	void roomIsLoggedByQueueAndLostTimeOfLongRunningJobsOncePerSecond() {
		this.world.addWorker("w0");
		this.world.takeOver();
		StepSpec.Traits longRunning = new StepSpec.Traits(false, false, false, true, false);
		this.world.submit("service", 1, VirtualWorld.withTraits(VirtualWorld.step(30, 2000, 0), longRunning));
		this.world.clock.runFor(5000);
		assertThat(lines("room")).hasSizeBetween(4, 6).allMatch((line) -> line.contains(" room q1 "));
		assertThat(lines("service-times")).hasSizeBetween(4, 6).anyMatch((line) -> line.contains("room="));
		assertThat(lines("job-times")).isEmpty();
	}

	@Test
	void timesOfActiveJobsAreLoggedEveryTwoSeconds() {
		this.world.addWorker("w0");
		this.world.takeOver();
		this.world.submit("job", 0, VirtualWorld.step(1, 1000, 9000));
		this.world.clock.runFor(8500);
		assertThat(lines("job-times")).hasSizeBetween(3, 5).allSatisfy(JobTimesLoggerTests::assertExplained);
	}

	private List<String> ended() {
		return lines("job-times").stream().filter((line) -> !line.contains("RUNNING")).toList();
	}

	private List<String> lines(String decision) {
		return this.world.log.stream().filter((line) -> line.contains(" " + decision + " ")).toList();
	}

	private static void assertExplained(String line) {
		Matcher wall = Pattern.compile("wall, (\\d+)").matcher(line);
		assertThat(wall.find()).isTrue();
		long explained = 0;
		Matcher phase = PHASE.matcher(line);
		while (phase.find()) {
			explained += Long.parseLong(phase.group(1));
		}
		long total = Long.parseLong(wall.group(1));
		assertThat(explained).as(line).isBetween(total * 95 / 100, total);
	}

}
