package io.lentilstream.cli.explain;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LateReportTests {

	private static final int JOBS = 50;

	private final LateReport report = new LateReport();

	@Test
	void moreThan95PercentOfTheLostTimeHasTheCauseThatTheLogWasMadeWith() {
		for (int job = 0; job < JOBS; job++) {
			submitted("job" + job, "edge-north-1", "STORED");
			ended("job" + job, 4000, "\"unknown\":100", "room=1500 starting=50 full=800 slowed=900 paced=600 again=30");
		}
		submitted("early", "edge-south-2", "STORED");
		ended("early", 900, "\"unknown\":10", "room=90 full=800");
		CauseTable table = this.report.endedBy("queue", LateJob::queue);
		assertThat(table.explainedShare()).isGreaterThan(0.95).isLessThan(1);
		assertThat(table.lostMillis("room")).isEqualTo(1500 * JOBS);
		assertThat(table.lostMillis("slowed")).isEqualTo(900 * JOBS);
		assertThat(table.lostMillis("paced")).isEqualTo(600 * JOBS);
		assertThat(table.lostMillis("storing")).isEqualTo(100 * JOBS);
		assertThat(table.lostMillis(LateJob.UNEXPLAINED)).isEqualTo(20 * JOBS);
	}

	@Test
	void timeWithoutAPhaseIsReportedAsUnexplained() {
		ended("job", 5000, "\"earlier-term\":500", "room=x full=1000");
		CauseTable table = this.report.endedBy("queue", LateJob::queue);
		assertThat(table.lostMillis(LateJob.UNEXPLAINED)).isEqualTo(3500);
		assertThat(table.lostMillis("earlier-term")).isEqualTo(500);
	}

	@Test
	void timeWithoutALeaderIsACauseAndTheRestOfEarlierTermsIsNotExplained() {
		add("\"decision\":\"load\",\"subject\":\"workers\"", "edge-north-1", -3000);
		add("\"decision\":\"term-begun\",\"subject\":\"2\"", "edge-north-2", -1000);
		ended("job", 5000, "\"earlier-term\":3000", "room=2000");
		CauseTable table = this.report.endedBy("queue", LateJob::queue);
		assertThat(table.lostMillis("no-leader")).isEqualTo(2000);
		assertThat(table.lostMillis(LateJob.EARLIER_TERM)).isEqualTo(1000);
		assertThat(table.explainedShare()).isEqualTo(0.8);
	}

	@Test
	void lastLineOfAFailedLeaderDividesTheTimeBeforeItsSuccessor() {
		times("job", -1000, "RUNNING", 3000, "\"unknown\":100", "room=2000 full=900");
		times("job", 1000, "COMPLETED", 5000, "\"earlier-term\":3200", "takeover=300 full=1500");
		CauseTable table = this.report.endedBy("queue", LateJob::queue);
		assertThat(table.lostMillis("room")).isEqualTo(2000);
		assertThat(table.lostMillis("takeover")).isEqualTo(300);
		assertThat(table.lostMillis(LateJob.EARLIER_TERM)).isEqualTo(200);
		assertThat(table.lostMillis(LateJob.UNEXPLAINED)).isZero();
	}

	@Test
	void jobThatIsStillActiveIsNotCounted() {
		times("job", 1000, "RUNNING", 3000, "\"unknown\":100", "room=2900");
		assertThat(this.report.endedBy("queue", LateJob::queue).lostMillis("room")).isZero();
	}

	@Test
	void refusalsRoomAndZonesAreListed() {
		submitted("stored", "edge-north-1", "STORED");
		ended("stored", 5000, "\"unknown\":0", "room=4000 full=1000");
		submitted("refused", "edge-south-2", "REFUSED");
		add("\"decision\":\"job-refused\",\"subject\":\"other\",\"queue\":\"q\",\"reason\":\"store is unreachable\","
				+ "\"outcome\":\"REFUSED\"", "edge-south-2");
		add("\"decision\":\"room\",\"subject\":\"q\",\"running-mcores\":64000,\"waiting-mcores\":7000,\"oldest\":12",
				"edge-north-1");
		add("\"decision\":\"service-times\",\"subject\":\"sweep\",\"queue\":\"s\",\"times\":\"slowed=700 full=300\"",
				"edge-north-1");
		assertThat(this.report.servicesBy("queue", LateJob::queue).lostMillis("slowed")).isEqualTo(700);
		assertThat(printed()).contains("q  edge-south  REFUSED  store is unreachable  1", "100.0% explained",
				"q=64 runs (0 paced), 7 waits, oldest 12 ms", "stored q edge-north COMPLETED 5000 4000");
	}

	private void submitted(String id, String node, String outcome) {
		add("\"decision\":\"job-submitted\",\"subject\":\"" + id + "\",\"queue\":\"q\",\"outcome\":\"" + outcome + "\"",
				node);
	}

	private void ended(String id, long wall, String before, String times) {
		times(id, 1000, "COMPLETED", wall, before, times);
	}

	private void times(String id, long time, String state, long wall, String before, String times) {
		add("\"decision\":\"job-times\",\"subject\":\"" + id + "\",\"queue\":\"q\",\"state\":\"" + state
				+ "\",\"wall\":" + wall + ",\"late\":" + (wall > 2000) + ",\"mcores\":1000," + before + ",\"times\":\""
				+ times + "\"", "edge-north-1", time);
	}

	private void add(String fields, String node) {
		add(fields, node, 1000);
	}

	private void add(String fields, String node, long time) {
		String text = "12.5 " + node + " {\"time\":" + time + ",\"node\":\"" + node + "\"," + fields + "}";
		assertThat(LateReport.mayConcern(text)).isTrue();
		this.report.add(DecisionLine.parse(text, 0).orElseThrow());
	}

	private String printed() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		this.report.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
