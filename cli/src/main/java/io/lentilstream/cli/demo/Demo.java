package io.lentilstream.cli.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.EndpointId;
import io.lentilstream.standin.EndpointFault;
import io.lentilstream.standin.OutageMode;
import io.lentilstream.standin.StandinRecords;
import io.lentilstream.standin.TaskRun;

/**
 * Runs the demonstration: load of three kinds, a killed daemon, a store outage, a leaving
 * endpoint, a crashed worker, racing operators and a graceful shutdown.
 */
public final class Demo {

	private static final long READY_MILLIS = 10_000;

	private static final long END_SECONDS = 12;

	private static final long LEAVING_LIMIT_MILLIS = 3_000;

	private static final int REQUESTS_PER_SECOND = 200;

	private static final int DRAINED_REQUESTS = 100;

	private static final int SHORT_TIMEOUT_REQUESTS = 300;

	private static final long SHORT_TIMEOUT_MILLIS = 12;

	private final PrintStream out;

	private final Properties properties = new Properties();

	private final long started = System.nanoTime();

	/**
	 * Creates a demonstration.
	 * @param out where progress and the report go
	 */
	public Demo(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs the demonstration.
	 * @return whether all nine properties were checked and held
	 * @throws IOException if no port is free
	 * @throws InterruptedException if the process is asked to end
	 */
	public boolean run() throws IOException, InterruptedException {
		try (DemoCluster cluster = new DemoCluster(); DemoClient client = new DemoClient()) {
			progress("started the stand-in platform and %d entry daemons in 2 zones", cluster.members().size());
			awaitReady(cluster);
			DemoOperator operator = new DemoOperator(cluster, client, this.properties);
			createTeam(operator);
			DemoUrgentLoad urgent = new DemoUrgentLoad(cluster, client, this.properties);
			DemoPayments payments = new DemoPayments(cluster, client, this.properties);
			DemoJobs jobs = new DemoJobs(cluster, client);
			Thread.sleep(500);
			urgent.start(REQUESTS_PER_SECOND);
			payments.start();
			jobs.submit("ledgers", "batch", 24, "sleep:3000ms", 2);
			progress("sends urgent requests, payments and batch jobs");
			injectFaults(cluster, operator, urgent, jobs);
			urgent.stop();
			payments.stop();
			long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(END_SECONDS);
			payments.collectAll(limit);
			List<String> openJobs = jobs.awaitEnd(limit);
			progress("collected answers and jobs");
			judge(cluster, urgent, payments, openJobs);
			new DemoReport(this.out, this.properties).print(cluster, urgent, payments);
			return this.properties.all().stream().allMatch(PropertyCheck::holds)
					&& cluster.brokenInvariants().isEmpty();
		}
	}

	private void awaitReady(DemoCluster cluster) throws InterruptedException {
		for (long i = 0; i < READY_MILLIS / 50 && !cluster.isReady(); i++) {
			Thread.sleep(50);
		}
		progress("entry daemons are ready");
	}

	private void createTeam(DemoOperator operator) throws InterruptedException {
		Map<String, String> platform = new LinkedHashMap<>();
		DemoOperator.platformPaths().forEach((path) -> platform.put(path, DemoNames.REGION));
		accept(operator, platform);
		String root = "/teams/" + DemoNames.TEAM;
		Map<String, String> team = new LinkedHashMap<>();
		String service = root + "/services/" + DemoNames.SERVICE;
		team.put(service + "/urgency", "urgent");
		team.put(service + "/expected-time", "10ms");
		team.put(service + "/timeout", "500ms");
		team.put(service + "/spill", "true");
		String payment = root + "/kinds/" + DemoNames.PAYMENT;
		team.put(payment + "/class", "deferrable");
		team.put(payment + "/service", DemoNames.SERVICE.value());
		team.put(root + "/kinds/" + DemoNames.LEDGER + "/class", "batch");
		accept(operator, team);
		progress("created a team with an urgent service, a payment kind and a batch kind");
	}

	private void accept(DemoOperator operator, Map<String, String> edits) throws InterruptedException {
		DemoAnswer answer = operator.change(edits);
		if (!answer.isOk()) {
			throw new IllegalStateException("the operator's change was not accepted: " + new String(answer.body()));
		}
		operator.awaitInForce(answer.json().path("document").asText(), answer.json().path("revision").asLong());
	}

	private void injectFaults(DemoCluster cluster, DemoOperator operator, DemoUrgentLoad urgent, DemoJobs jobs)
			throws InterruptedException {
		Thread.sleep(800);
		endpoint(cluster, 0, 0).next(EndpointFault.ANSWERS_OTHER_REQUEST, 5);
		endpoint(cluster, 1, 0).next(EndpointFault.CLOSES_IN_BODY, 5);
		endpoint(cluster, 0, 1).next(EndpointFault.CLOSES_ON_ARRIVAL, 5);
		endpoint(cluster, 1, 1).next(EndpointFault.ANSWERS_TWICE, 5);
		progress("endpoints cross, truncate, double and drop answers");
		Thread.sleep(500);
		cluster.members().get(1).kill();
		progress("killed %s", cluster.members().get(1).vm());
		crashBusyWorker(cluster);
		Thread.sleep(4_000);
		cluster.platform().faults().store().startOutage(OutageMode.CLOSES);
		progress("store outage begins");
		Thread.sleep(1_200);
		urgent.burstWithTimeout(SHORT_TIMEOUT_REQUESTS, SHORT_TIMEOUT_MILLIS);
		Thread.sleep(800);
		cluster.platform().faults().store().endOutage();
		progress("store outage ends");
		Thread.sleep(1_500);
		String path = "/teams/" + DemoNames.TEAM + "/services/" + DemoNames.SERVICE + "/timeout";
		long revision = cluster.members().get(0).daemon().revisionInForce("/teams/" + DemoNames.TEAM);
		int winners = operator.race(path, revision);
		operator.awaitInForce("/teams/" + DemoNames.TEAM, revision + winners);
		progress("two operators raced, %d won", winners);
		endpoint(cluster, 0, 2).leave(false);
		jobs.submit("proofs", "urgent", 6, "sleep:300ms", 2);
		progress("an endpoint leaves; urgent tasks submitted");
		Thread.sleep(1_500);
		DemoCluster.Member leaving = cluster.members().get(2);
		CompletableFuture<Void> answered = urgent.burst(leaving, DRAINED_REQUESTS);
		CompletableFuture<Void> drained = leaving.drain();
		progress("%s drains with %d requests in flight", leaving.vm(), DRAINED_REQUESTS);
		Thread.sleep(2_000);
		this.properties.gracefulStop.check(answered.isDone(), "requests in flight at the drain have no answer");
		this.properties.gracefulStop.check(drained.isDone(), "the drain did not end");
	}

	private void crashBusyWorker(DemoCluster cluster) {
		for (List<TaskRun> runs : cluster.platform().records().taskRuns().values()) {
			TaskRun last = runs.get(runs.size() - 1);
			if (last.until().isEmpty()) {
				cluster.platform().faults().worker(last.vm()).crash();
				progress("crashed %s, which ran tasks", last.vm());
				return;
			}
		}
		progress("no worker runs a task, so none was crashed");
	}

	private io.lentilstream.standin.EndpointFaults endpoint(DemoCluster cluster, int zone, int index) {
		return cluster.platform().faults().endpoint(new EndpointId(DemoNames.ZONES.get(zone) + "-endpoint-" + index));
	}

	private void judge(DemoCluster cluster, DemoUrgentLoad urgent, DemoPayments payments, List<String> openJobs) {
		StandinRecords records = cluster.platform().records();
		payments.checkRuns(records.keyRuns());
		for (String key : urgent.refusedKeys()) {
			int runs = records.keyRuns().getOrDefault(key, 0);
			this.properties.trueNotRun.check(runs == 0, key + " was refused as not run and ran " + runs + " times");
		}
		records.workers()
			.forEach((vm, record) -> this.properties.vmCapacity.check(!record.overCapacity(),
					vm + " reached " + record.highest()));
		records.taskRuns().forEach((task, runs) -> judgeTask(task.value(), runs));
		this.properties.resumeOnce.check(openJobs.isEmpty(), "jobs did not end: " + openJobs);
		records.endpoints()
			.forEach((endpoint, record) -> record.lastWorkAfterLeaving()
				.ifPresent((last) -> this.properties.leavingEndpoint.check(last.toMillis() <= LEAVING_LIMIT_MILLIS,
						endpoint + " got work " + last.toMillis() + " ms after it was leaving")));
		long broken = urgent.outcomes().containsKey("broken connection")
				? urgent.outcomes().get("broken connection").get() : 0;
		this.out.println("  requests on connections of the killed daemon: " + broken);
	}

	private void judgeTask(String task, List<TaskRun> runs) {
		boolean overlap = false;
		for (int i = 0; i < runs.size(); i++) {
			for (int j = i + 1; j < runs.size(); j++) {
				overlap |= runs.get(i).overlaps(runs.get(j));
			}
		}
		this.properties.singlePlacement.check(!overlap, task + " ran in two places: " + runs);
		long done = runs.stream().filter((run) -> run.end() == TaskReport.State.DONE).count();
		if (runs.size() > 1) {
			Duration reached = runs.get(0).reached();
			Duration resumed = runs.get(1).resumedFrom();
			this.properties.resumeOnce.check(done == 1 && resumed.compareTo(reached) <= 0,
					task + " ended " + done + " times: " + runs);
		}
		else {
			this.properties.singlePlacement.check(done == 1, task + " ended " + done + " times");
		}
	}

	private void progress(String text, Object... arguments) {
		double seconds = (System.nanoTime() - this.started) / 1e9;
		this.out.printf("%5.1f s  %s%n", seconds, text.formatted(arguments));
	}

}
