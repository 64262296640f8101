import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.JobProgress;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.codec.ProgressCodec;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * The processes start with a store that holds ended jobs: 60,000, which 2.7 hours leave
 * there at 8.1 jobs a second of which 2 are deleted, or 1,215 without the trouble, which
 * the retention of 150 s holds. Checks that jobs are accepted and done. Processes that
 * end are started again.
 */
final class EndedJobs {

	private EndedJobs() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, EndedJobs::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("payout", 3));
		for (int i = 1; i <= 3; i++) {
			harness.minions.add(new Minion(harness.store, "svc", i, "r1-1", 32_000, 128_000));
		}
		fill(harness.store, Harness.TROUBLE ? 60_000 : 1215);
		harness.startNodes(3);
		Thread keeper = new Thread(() -> restart(harness), "keeper");
		keeper.setDaemon(true);
		keeper.start();
		harness.awaitLeader();
		List<Jobs.Job> jobs = new ArrayList<>();
		int refused = 0;
		for (int i = 0; i < 6; i++) {
			Jobs.Job job = Jobs.create("payout", new Jobs.Step().size(4, 1000, 100).work(500));
			if (harness.submit(job)) {
				jobs.add(job);
			}
			else {
				refused++;
			}
			Thread.sleep(500);
		}
		Thread.sleep(14_000);
		int open = 0;
		for (Jobs.Job job : jobs) {
			open += harness.awaitEnd(job, Record.now() + 500).equals("completed") ? 0 : 1;
		}
		if (open + refused > 0) {
			harness.finish(Harness.BROKEN, "LOST: " + open + " accepted jobs are not done, and " + refused
					+ " were not accepted within 10 s");
		}
		harness.finish(Harness.HELD, "all jobs are done");
	}

	private static void fill(Store store, int count) {
		StepSpec.Traits traits = new StepSpec.Traits(true, false, false, false, false);
		List<StepSpec> steps = new ArrayList<>();
		for (int number = 0; number < 2; number++) {
			steps.add(new StepSpec(8, new Resources(3500, 6400, 0), 1400, (number > 0) ? List.of(0) : List.of(),
					traits, StepSpec.Placement.ANYWHERE, "", 0, -1));
		}
		QueuePolicy policy = new QueuePolicy(new ServiceName("svc"), 0, 3, 2.0, 1000);
		long now = System.currentTimeMillis();
		for (int i = 0; i < count; i++) {
			JobId id = new JobId(String.format("%016x", 0x7000000000000000L + i));
			long endedAt = now - (count - i) * 123L;
			JobSubmission submission = new JobSubmission(id, "r-payout", policy, "x".repeat(150), steps,
					JobSubmission.Schedule.ONCE, endedAt - 4000);
			store.putBytes("lentilstream/in/job/" + id, SubmissionCodec.encode(submission));
			store.putBytes("lentilstream/progress/" + id,
					ProgressCodec.encode(new JobProgress(id, JobState.COMPLETED, endedAt, List.of(0), List.of())));
		}
		Record.line("the store holds " + count + " ended jobs");
	}

	private static void restart(Harness harness) {
		try {
			while (true) {
				Thread.sleep(500);
				for (Harness.Node node : harness.nodes) {
					if (!node.alive()) {
						Record.line(node.name + " has ended with status " + node.exitStatus());
						node.start();
					}
				}
			}
		}
		catch (Exception ex) {
			Record.line("no restart: " + ex);
		}
	}

}
