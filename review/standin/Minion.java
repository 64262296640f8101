import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for a minion: it carries out orders as the pages say, for tasks whose size
 * and time it knows from what the clients have handed in.
 */
final class Minion {

	static final long MAX_HOLD_MILLIS = 6000;

	static final long STOP_MILLIS = 200;

	static final long GANG_WAIT_MILLIS = 3000;

	static final long RESTORE_MILLIS = 250;

	private static final int ENDS_AT_A_TIME = 500;

	private static final long TICK_MILLIS = 5;

	/** All minions act under one lock, so that the members of a gang are seen together. */
	private static final Object LOCK = new Object();

	private static final List<Minion> ALL = new ArrayList<>();

	private static boolean ticking;

	/** What was observed of a run. */
	static final class Run {

		final String task;

		final int number;

		final Minion minion;

		final long startedAt = Record.now();

		long workedMillis;

		long workingSince = -1;

		long restoreUntil;

		String saved;

		long stopAt = -1;

		volatile long endedAt = -1;

		volatile String how = "";

		volatile long endNumber;

		/** When {@code last-seen} reached the end; negative if it has not. */
		volatile long notedAt = -1;

		/** Whether the lease of the minion lapsed between the end and its note. */
		volatile boolean lapsedBefore;

		Run(String task, int number, Minion minion, String checkpoint) {
			this.task = task;
			this.number = number;
			this.minion = minion;
			this.saved = checkpoint;
		}

		String gang() {
			return this.task.substring(0, this.task.lastIndexOf('.')) + "#" + this.number;
		}

	}

	/** All runs of all minions, in the order of their starts. */
	static final List<Run> RUNS = new ArrayList<>();

	/** The checkpoints that the members of a gang run were started with. */
	private static final Map<String, String> GANG_CHECKPOINTS = new LinkedHashMap<>();

	/** Starts that were refused since the gang carried another checkpoint. */
	static volatile int mixedCheckpoints;

	private final Store store;

	private final String service;

	private final String rack;

	final String id;

	final HttpServer server;

	final long cpu;

	final long memory;

	private long born = System.currentTimeMillis();

	private long clockStart = Record.now() - 1000;

	private long highestFence;

	private long lastEnd;

	private long leaseUntil;

	private boolean up = true;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final TreeMap<Long, Run> ended = new TreeMap<>();

	private final Map<String, Integer> highestEnded = new LinkedHashMap<>();

	long saveMillis = 2000;

	/**
	 * While a zone is cut off: the fencing token of the holder on the minion's side of
	 * the cut; negative for none. Calls with another token do not reach the minion.
	 */
	volatile long reachedOnlyBy = Long.MAX_VALUE;

	Minion(Store store, String service, int number, String rack, long cpu, long memory) throws IOException {
		this.store = store;
		this.service = service;
		this.rack = rack;
		this.id = String.format("i-%04d", number);
		this.cpu = cpu;
		this.memory = memory;
		this.server = new HttpServer(this::handle);
		synchronized (LOCK) {
			ALL.add(this);
			if (!ticking) {
				ticking = true;
				Thread thread = new Thread(Minion::tickAll, "minions");
				thread.setDaemon(true);
				thread.start();
			}
		}
		register();
	}

	/** Writes the entry of the minion. */
	void register() {
		this.store.put("servers/" + this.id, Json.write(Json.map("service", this.service, "address",
				"127.0.0.1:" + this.server.port(), "zone", "depot", "version", "v1", "slots", 8, "state", "ready",
				"cold-left-ms", 0, "capacity", Json.map("cpu", this.cpu, "mem-mb", this.memory, "gpu", 0), "labels",
				List.of("a", this.rack), "clock-ms", clock(), "seq", 1, "born", this.born)));
	}

	private long clock() {
		return Record.now() - this.clockStart;
	}

	/** The minion crashes; everything that it runs is gone. */
	void crash() throws IOException {
		synchronized (LOCK) {
			Record.line(this.id + " crashes with " + this.running.size() + " runs");
			this.up = false;
			for (Run run : List.copyOf(this.running.values())) {
				run.how = "crashed";
				run.endedAt = Record.now();
				breakGang(run);
			}
			this.running.clear();
			this.ended.clear();
			this.highestEnded.clear();
			this.highestFence = 0;
			this.lastEnd = 0;
			this.leaseUntil = 0;
		}
		this.server.close();
	}

	/** The platform drops the entry of a silent minion. */
	void drop() {
		this.store.delete("servers/" + this.id);
	}

	/** The minion starts again under its id. */
	void restart() throws IOException {
		synchronized (LOCK) {
			Record.line(this.id + " starts again");
			this.born = System.currentTimeMillis();
			this.clockStart = Record.now() - 1000;
			this.up = true;
		}
		this.server.reopen();
		register();
	}

	/** The highest fencing token that the minion has seen. */
	long highestFence() {
		synchronized (LOCK) {
			return this.highestFence;
		}
	}

	/** The number of runs on the minion. */
	int runs() {
		synchronized (LOCK) {
			return this.running.size();
		}
	}

	long usedCpu() {
		synchronized (LOCK) {
			return this.running.values().stream().mapToLong((run) -> Jobs.step(run.task).cpu).sum();
		}
	}

	long usedMemory() {
		synchronized (LOCK) {
			return this.running.values().stream().mapToLong((run) -> Jobs.step(run.task).memory).sum();
		}
	}

	int openEnds() {
		synchronized (LOCK) {
			return this.ended.size();
		}
	}

	boolean up() {
		return this.up;
	}

	private HttpServer.Reply handle(HttpServer.Request request) throws InterruptedException {
		Map<String, Object> body = request.body().isEmpty() ? Json.map() : Json.object(request.body());
		String expected = request.headers().get("expected-instance");
		long token = Json.number(body, "fencing-token", 0);
		if (this.reachedOnlyBy != Long.MAX_VALUE && token != this.reachedOnlyBy) {
			return HttpServer.Reply.SILENT;
		}
		synchronized (LOCK) {
			if (expected != null && !expected.equals(this.id)) {
				return answer(421, null);
			}
			if (token < this.highestFence) {
				return answer(409, "fence");
			}
			this.highestFence = token;
			switch (request.path()) {
				case "/lentilstream/run-start":
					return start(body);
				case "/lentilstream/run-stop":
					return stop(body);
				case "/lentilstream/pace":
					return answer(200, null);
				case "/lentilstream/hold":
					return hold(body);
				default:
					return answer(404, null);
			}
		}
	}

	private HttpServer.Reply answer(int status, String reason) {
		Map<String, Object> body = Json.map("clock-ms", clock(), "born", this.born);
		if (reason != null) {
			body.put("reason", reason);
		}
		return HttpServer.Reply.of(status, body);
	}

	private void extend(Map<String, Object> body) {
		long deadline = Json.number(body, "deadline-ms", 0);
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, clock() + MAX_HOLD_MILLIS));
	}

	private HttpServer.Reply start(Map<String, Object> body) {
		String task = Json.text(body, "task", "");
		int number = (int) Json.number(body, "run", 0);
		Jobs.Step step = Jobs.step(task);
		if (step == null || Jobs.index(task) >= step.count) {
			Record.line(this.id + " is told to start " + task + ", which no client sent");
			return answer(400, null);
		}
		String key = task + "#" + number;
		if (this.running.containsKey(key)) {
			return answer(200, null);
		}
		if (Json.number(body, "deadline-ms", 0) <= clock()) {
			return answer(409, "late");
		}
		extend(body);
		if (number <= this.highestEnded.getOrDefault(task, 0)) {
			return answer(409, "old");
		}
		long cpuUsed = 0;
		long memoryUsed = 0;
		for (Run run : this.running.values()) {
			cpuUsed += Jobs.step(run.task).cpu;
			memoryUsed += Jobs.step(run.task).memory;
		}
		if (cpuUsed + step.cpu > this.cpu || memoryUsed + step.memory > this.memory) {
			return answer(409, "room");
		}
		String checkpoint = Json.text(body, "checkpoint", "");
		Run run = new Run(task, number, this, checkpoint);
		if (step.gang) {
			String first = GANG_CHECKPOINTS.putIfAbsent(run.gang(), checkpoint);
			if (first != null && !first.equals(checkpoint)) {
				mixedCheckpoints++;
				Record.line(this.id + " refuses " + key + ": its checkpoint is '" + checkpoint
						+ "', another member of this run has '" + first + "'");
				return answer(400, null);
			}
		}
		this.running.put(key, run);
		RUNS.add(run);
		if (!checkpoint.isEmpty()) {
			run.workedMillis = Long.parseLong(checkpoint.substring(0, 8), 16);
			run.restoreUntil = Record.now() + RESTORE_MILLIS;
		}
		Record.line(this.id + " starts " + key + (checkpoint.isEmpty() ? "" : " from " + checkpoint));
		return answer(200, null);
	}

	private HttpServer.Reply stop(Map<String, Object> body) {
		String task = Json.text(body, "task", "");
		int number = (int) Json.number(body, "run", 0);
		this.highestEnded.merge(task, number, Math::max);
		Run run = this.running.get(task + "#" + number);
		if (run != null && run.stopAt < 0) {
			run.stopAt = Record.now() + STOP_MILLIS / 4;
			Record.line(this.id + " is told to stop " + task + "#" + number + " at " + percent(run) + "%");
		}
		return answer(200, null);
	}

	private HttpServer.Reply hold(Map<String, Object> body) throws InterruptedException {
		extend(body);
		long seen = Json.number(body, "last-seen", 0);
		for (Run run : List.copyOf(this.ended.headMap(seen, true).values())) {
			run.notedAt = Record.now();
			this.ended.remove(run.endNumber);
		}
		long until = Record.now() + Math.min(2000, Json.number(body, "wait-ms", 0));
		long bornThen = this.born;
		while (this.ended.isEmpty() && Record.now() < until && this.born == bornThen) {
			LOCK.wait(Math.max(1, until - Record.now()));
		}
		List<Object> runningRows = new ArrayList<>();
		for (Run run : this.running.values()) {
			Jobs.Step step = Jobs.step(run.task);
			long figure = (step.targetMillis > 0) ? step.targetMillis / 3 : step.cpu;
			runningRows.add(List.of(run.task, run.number, run.saved, percent(run), figure));
		}
		List<Object> endedRows = new ArrayList<>();
		for (Run run : this.ended.values()) {
			if (endedRows.size() == ENDS_AT_A_TIME) {
				break;
			}
			endedRows.add(List.of(run.endNumber, run.task, run.number, run.how, run.saved));
		}
		Map<String, Object> reply = Json.map("clock-ms", clock(), "born", this.born, "running", runningRows,
				"finished", endedRows);
		boolean cutMeanwhile = this.reachedOnlyBy != Long.MAX_VALUE
				&& Json.number(body, "fencing-token", 0) != this.reachedOnlyBy;
		return cutMeanwhile ? HttpServer.Reply.SILENT : HttpServer.Reply.of(200, reply);
	}

	/** Whole percent of the work that is done; a task that lasts is at 100 when it works. */
	private static long percent(Run run) {
		Jobs.Step step = Jobs.step(run.task);
		if (step.lasting) {
			return Math.min(100, (Record.now() - run.startedAt) / 4);
		}
		return Math.min(99, 100 * run.workedMillis / Math.max(1, step.workMillis));
	}

	private static void tickAll() {
		long last = Record.now();
		while (true) {
			try {
				Thread.sleep(TICK_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (LOCK) {
				long now = Record.now();
				for (Minion minion : ALL) {
					if (minion.up) {
						minion.tick(now, now - last);
					}
				}
				last = now;
			}
		}
	}

	private void tick(long now, long passed) {
		if (!this.running.isEmpty() && clock() > this.leaseUntil) {
			Record.line(this.id + ": the lease has lapsed, " + this.running.size() + " runs end");
			this.ended.values().forEach((run) -> run.lapsedBefore = true);
			for (Run run : List.copyOf(this.running.values())) {
				end(run, "lapsed");
			}
			return;
		}
		for (Run run : List.copyOf(this.running.values())) {
			if (run.endedAt >= 0) {
				continue;
			}
			Jobs.Step step = Jobs.step(run.task);
			if (run.stopAt >= 0) {
				if (now >= run.stopAt) {
					save(run, run.workedMillis);
					end(run, "stopped");
				}
				continue;
			}
			if (step.gang && !complete(run, step)) {
				if (now - run.startedAt > GANG_WAIT_MILLIS) {
					end(run, "alone");
				}
				continue;
			}
			if (step.lasting) {
				Integer failures = step.failures.get(Jobs.index(run.task));
				if (failures != null && failures > 0 && now - run.startedAt >= step.failAfterMillis
						+ step.failEachMillis * Jobs.index(run.task)) {
					step.failures.put(Jobs.index(run.task), failures - 1);
					end(run, "failed");
				}
				continue;
			}
			if (now < run.restoreUntil) {
				continue;
			}
			long before = run.workedMillis;
			run.workedMillis += passed;
			if (run.workedMillis / this.saveMillis > before / this.saveMillis) {
				save(run, run.workedMillis / this.saveMillis * this.saveMillis);
			}
			Integer failures = step.failures.get(Jobs.index(run.task));
			if (failures != null && failures > 0 && run.workedMillis >= step.workMillis / 2) {
				step.failures.put(Jobs.index(run.task), failures - 1);
				end(run, "failed");
				breakGang(run);
			}
			else if (run.workedMillis >= step.workMillis) {
				if (step.gang) {
					for (Run member : members(run)) {
						member.minion.end(member, "done");
					}
				}
				else {
					end(run, "done");
				}
			}
		}
	}

	private static void save(Run run, long worked) {
		if (Jobs.step(run.task).checkpointing) {
			String key = savedKey(run.task, Jobs.step(run.task));
			run.saved = String.format("%08x%08x", worked, key.hashCode());
		}
	}

	private static String savedKey(String task, Jobs.Step step) {
		return step.gang ? task.substring(0, task.lastIndexOf('.')) : task;
	}

	private static List<Run> members(Run run) {
		List<Run> found = new ArrayList<>();
		for (Minion minion : ALL) {
			for (Run other : minion.running.values()) {
				if (other.endedAt < 0 && other.gang().equals(run.gang())) {
					found.add(other);
				}
			}
		}
		return found;
	}

	private static boolean complete(Run run, Jobs.Step step) {
		if (run.workingSince >= 0) {
			return true;
		}
		List<Run> present = members(run);
		if (present.size() < step.count) {
			return false;
		}
		present.forEach((member) -> member.workingSince = Record.now());
		return true;
	}

	private static void breakGang(Run run) {
		Jobs.Step step = Jobs.step(run.task);
		if (step.gang) {
			members(run).stream().filter((member) -> member != run && member.workingSince >= 0)
				.forEach((member) -> member.minion.end(member, "broken"));
		}
	}

	private void end(Run run, String how) {
		if (run.endedAt >= 0) {
			return;
		}
		run.how = how;
		run.endedAt = Record.now();
		run.endNumber = ++this.lastEnd;
		this.running.remove(run.task + "#" + run.number);
		this.ended.put(run.endNumber, run);
		this.highestEnded.merge(run.task, run.number, Math::max);
		Record.line(this.id + " ends " + run.task + "#" + run.number + " " + how
				+ (run.saved.isEmpty() ? "" : " saved " + run.saved));
		if (how.equals("stopped") || how.equals("lapsed")) {
			breakGang(run);
		}
		LOCK.notifyAll();
	}

	/** A copy of all runs so far. */
	static List<Run> runsSoFar() {
		synchronized (LOCK) {
			return List.copyOf(RUNS);
		}
	}

}
