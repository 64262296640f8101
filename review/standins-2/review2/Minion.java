package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for a minion. A task's {@code spec} tells it what the task needs, as
 * {@code work=MILLIS;cpu=MILLICORES;use=MILLICORES}; a task without {@code work} runs until it is
 * stopped, and a filling task uses {@code use} beside the {@code cpu} that counts.
 */
final class Minion {

	private static final long HEARTBEAT_MILLIS = 1100;

	private static final long MAX_HOLD_MILLIS = 6000;

	private static final long STOP_MILLIS = 50;

	private final Store store;

	private final Record record;

	private final String service;

	private final String rack;

	private final long cpu;

	String id;

	private int port;

	private Server server;

	private boolean up;

	private long born;

	private long clockStart;

	private long sequence;

	private long token;

	private long leaseUntil;

	private long lastEnd;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final TreeMap<Long, Object> ends = new TreeMap<>();

	private final Map<String, Long> highest = new HashMap<>();

	Minion(Store store, Record record, String id, String service, String rack, long cpu) {
		this.store = store;
		this.record = record;
		this.id = id;
		this.service = service;
		this.rack = rack;
		this.cpu = cpu;
		Thread ticker = new Thread(this::tick, id);
		ticker.setDaemon(true);
		ticker.start();
	}

	/**
	 * Starts a life of the minion, at the same address as the last one.
	 */
	void start(String newId) {
		Server opened = new Server(this.port, this::handle);
		synchronized (this) {
			this.id = newId;
			this.server = opened;
			this.port = opened.port();
			this.up = true;
			this.born = System.currentTimeMillis();
			this.clockStart = Store.millis() - 1000;
			this.sequence = 0;
		}
		register();
	}

	/**
	 * Ends the life of the minion: everything that runs here is gone. The platform removes
	 * its entry after three heartbeats.
	 */
	void crash() {
		String crashed;
		synchronized (this) {
			crashed = this.id;
			this.up = false;
			this.running.values().forEach((run) -> this.record.ended(run.task, run.number, this.id, "crashed"));
			this.running.clear();
			this.ends.clear();
			this.highest.clear();
			this.token = 0;
			this.leaseUntil = 0;
			this.lastEnd = 0;
			notifyAll();
		}
		this.server.close();
		Thread removal = new Thread(() -> {
			try {
				Thread.sleep(3 * HEARTBEAT_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				if (this.up && this.id.equals(crashed)) {
					return;
				}
			}
			this.store.put("servers/" + crashed, null);
		}, "removal");
		removal.setDaemon(true);
		removal.start();
	}

	synchronized boolean runs(String job) {
		return this.running.keySet().stream().anyMatch((task) -> task.startsWith(job));
	}

	private void register() {
		Map<String, Object> entry = new LinkedHashMap<>();
		String key;
		synchronized (this) {
			if (!this.up) {
				return;
			}
			key = "servers/" + this.id;
			entry.put("service", this.service);
			entry.put("address", Server.HOST + ":" + this.port);
			entry.put("zone", "depot");
			entry.put("version", "v1");
			entry.put("slots", 8);
			entry.put("state", "ready");
			entry.put("cold-left-ms", 0);
			entry.put("capacity", Map.of("cpu", this.cpu, "mem-mb", 125_000, "gpu", 0));
			entry.put("labels", List.of("a", this.rack));
			entry.put("clock-ms", clock());
			entry.put("seq", ++this.sequence);
			entry.put("born", this.born);
		}
		this.store.put(key, Json.write(entry));
	}

	private long clock() {
		return Store.millis() - this.clockStart;
	}

	private synchronized Server.Reply handle(Server.Request request) {
		if (!this.up) {
			return null;
		}
		if (request.path().equals("/healthz")) {
			return reply(200, "");
		}
		if (request.expected() != null && !request.expected().equals(this.id)) {
			return reply(421, "");
		}
		long given = request.number("fencing-token", 0);
		if (given < this.token) {
			return reply(409, "fence");
		}
		this.token = given;
		return switch (request.path()) {
			case "/lentilstream/run-start" -> startRun(request);
			case "/lentilstream/run-stop" -> stopRun(request);
			case "/lentilstream/hold" -> hold(request);
			default -> reply(200, "");
		};
	}

	private Server.Reply reply(int status, String reason) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("clock-ms", clock());
		body.put("born", this.born);
		if (!reason.isEmpty()) {
			body.put("reason", reason);
		}
		return new Server.Reply(status, body);
	}

	private void extend(Server.Request request) {
		long deadline = Math.min(request.number("deadline-ms", 0), clock() + MAX_HOLD_MILLIS);
		this.leaseUntil = Math.max(this.leaseUntil, deadline);
	}

	private Server.Reply startRun(Server.Request request) {
		String task = request.text("task");
		long number = request.number("run", 0);
		Run known = this.running.get(task);
		if (known != null && known.number == number) {
			return reply(200, "");
		}
		if (request.number("deadline-ms", 0) <= clock()) {
			return reply(409, "late");
		}
		extend(request);
		if (known != null || number <= this.highest.getOrDefault(task, 0L)) {
			return reply(409, "old");
		}
		Run run = new Run(task, number, request.text("spec"), Store.millis());
		long used = this.running.values().stream().mapToLong((other) -> other.cpu).sum();
		if (used + run.cpu > this.cpu) {
			return reply(409, "room");
		}
		this.running.put(task, run);
		this.record.started(task, number, this.id);
		return reply(200, "");
	}

	private Server.Reply stopRun(Server.Request request) {
		String task = request.text("task");
		long number = request.number("run", 0);
		this.highest.merge(task, number, Math::max);
		Run run = this.running.get(task);
		if (run != null && run.number <= number && run.stopAt < 0) {
			run.stopAt = Store.millis() + STOP_MILLIS;
		}
		return reply(200, "");
	}

	private Server.Reply hold(Server.Request request) {
		extend(request);
		this.ends.headMap(request.number("last-seen", 0), true).clear();
		long until = Store.millis() + request.number("wait-ms", 0);
		long life = this.born;
		try {
			while (this.up && this.ends.isEmpty() && Store.millis() < until) {
				wait(Math.max(1, until - Store.millis()));
			}
		}
		catch (InterruptedException ex) {
			return null;
		}
		if (!this.up || life != this.born) {
			return null;
		}
		List<Object> rows = new ArrayList<>();
		long now = Store.millis();
		this.running.values()
			.forEach((run) -> rows.add(List.of(run.task, run.number, "", run.percent(now), run.measurement())));
		Server.Reply reply = reply(200, "");
		reply.body().put("running", rows);
		reply.body().put("finished", new ArrayList<>(this.ends.values()).subList(0, Math.min(500, this.ends.size())));
		return reply;
	}

	private void tick() {
		long registerAt = Store.millis() + HEARTBEAT_MILLIS;
		while (true) {
			try {
				Thread.sleep(10);
			}
			catch (InterruptedException ex) {
				return;
			}
			if (Store.millis() >= registerAt) {
				registerAt += HEARTBEAT_MILLIS;
				register();
			}
			synchronized (this) {
				if (this.up) {
					endRuns();
				}
			}
		}
	}

	private void endRuns() {
		long now = Store.millis();
		boolean lapsed = clock() > this.leaseUntil;
		for (Run run : List.copyOf(this.running.values())) {
			String how = lapsed ? "lapsed" : run.outcome(now);
			if (!how.isEmpty()) {
				this.running.remove(run.task);
				this.highest.merge(run.task, run.number, Math::max);
				this.ends.put(++this.lastEnd, List.of(this.lastEnd, run.task, run.number, how, ""));
				this.record.ended(run.task, run.number, this.id, how);
				notifyAll();
			}
		}
	}

	private static final class Run {

		final String task;

		final long number;

		final long startedAt;

		final long work;

		final long cpu;

		final long use;

		long stopAt = -1;

		Run(String task, long number, String spec, long now) {
			this.task = task;
			this.number = number;
			this.startedAt = now;
			this.work = parameter(spec, "work", -1);
			this.cpu = parameter(spec, "cpu", 1000);
			this.use = parameter(spec, "use", this.cpu);
		}

		private static long parameter(String spec, String name, long missing) {
			for (String part : spec.split(";")) {
				if (part.startsWith(name + "=")) {
					return Long.parseLong(part.substring(name.length() + 1).trim());
				}
			}
			return missing;
		}

		int percent(long now) {
			return (this.work < 0) ? 100 : (int) Math.min(99, 100 * (now - this.startedAt) / this.work);
		}

		long measurement() {
			return (this.work < 0) ? 5 : this.use;
		}

		String outcome(long now) {
			if (this.stopAt >= 0 && now >= this.stopAt) {
				return "stopped";
			}
			return (this.work >= 0 && now - this.startedAt >= this.work) ? "done" : "";
		}

	}

}
