package io.lentilstream.shards.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.shards.FakeStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs one shard log against a fake store and records its events.
 */
final class LogHarness {

	static final ShardId SHARD = new ShardId("zone-1", 0);

	final FakeStore store;

	final ShardLog log;

	final long epoch;

	final List<LogAction> events = new ArrayList<>();

	final List<String> committed = new ArrayList<>();

	/**
	 * The entries that the owner of the log knows: the recovered and the committed ones.
	 */
	final List<String> knownEntries = new ArrayList<>();

	boolean writesSnapshots;

	final Deque<LogAction> pendingCalls = new ArrayDeque<>();

	long writes;

	long nextToken = 1;

	private final List<String> appended = new ArrayList<>();

	MonotonicTime now = MonotonicTime.ofMillis(0);

	LogHarness(FakeStore store, ShardLogSettings settings, long epoch) {
		this.store = store;
		this.epoch = epoch;
		this.log = new ShardLog(settings, SHARD, new Epoch(epoch), this.now);
	}

	LogHarness recover() {
		perform(this.log.tick(this.now));
		runUntilIdle();
		return this;
	}

	void append(String... entries) {
		for (String entry : entries) {
			this.appended.add(entry);
			perform(this.log.append(this.now, List.of(bytes(entry)), this.nextToken++));
		}
	}

	void perform(List<LogAction> actions) {
		for (LogAction action : actions) {
			if (isCall(action)) {
				this.pendingCalls.add(action);
				continue;
			}
			this.events.add(action);
			if (action instanceof LogAction.Committed commit) {
				List<String> entries = commit.tokens()
					.stream()
					.map((token) -> this.appended.get((int) (token - 1)))
					.toList();
				this.committed.addAll(entries);
				this.knownEntries.addAll(entries);
			}
			else if (action instanceof LogAction.Recovered) {
				this.knownEntries.addAll(recoveredEntries());
			}
			else if (action instanceof LogAction.SnapshotNeeded request && this.writesSnapshots) {
				perform(this.log.writeSnapshot(this.now, request.sequence(),
						bytes(String.join("\n", this.knownEntries))));
			}
		}
	}

	/**
	 * Performs all calls and ticks until nothing is due within the next second.
	 */
	void runUntilIdle() {
		MonotonicTime end = this.now.plusMillis(1_000);
		while (true) {
			while (!this.pendingCalls.isEmpty()) {
				performNextCall();
			}
			MonotonicTime due = this.log.nextWakeUp().orElse(null);
			if (due == null || due.isAfter(end)) {
				return;
			}
			this.now = due.isAfter(this.now) ? due : this.now;
			perform(this.log.tick(this.now));
		}
	}

	void performNextCall() {
		performCall(this.pendingCalls.remove());
	}

	void performCall(LogAction action) {
		if (action instanceof LogAction.Write write) {
			this.writes++;
			reply(write, this.store.write(write.write()));
		}
		else if (action instanceof LogAction.Read read) {
			perform(this.log.completed(this.now, read.id(), this.store.read(read.key())));
		}
		else if (action instanceof LogAction.ListKeys list) {
			perform(this.log.completed(this.now, list.id(), this.store.list(list.prefix())));
		}
	}

	void reply(LogAction.Write write, WriteOutcome outcome) {
		perform(this.log.completed(this.now, write.id(), outcome));
	}

	LogAction.Write nextWrite() {
		return (LogAction.Write) this.pendingCalls.remove();
	}

	List<String> recoveredEntries() {
		return this.events.stream()
			.filter(LogAction.Recovered.class::isInstance)
			.map(LogAction.Recovered.class::cast)
			.flatMap((event) -> java.util.stream.Stream.concat(
					event.snapshot().map(LogHarness::lines).orElse(List.of()).stream(),
					event.entries().stream().map(LogHarness::text)))
			.toList();
	}

	boolean hasEvent(Predicate<LogAction> event) {
		return this.events.stream().anyMatch(event);
	}

	/**
	 * Checks that this owner knows all entries that an earlier owner committed, each once
	 * and in order.
	 */
	void assertKnowsEntriesOf(LogHarness earlier) {
		List<String> known = this.knownEntries.stream().filter(earlier.committed::contains).toList();
		assertThat(known).isEqualTo(earlier.committed);
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	static String text(byte[] bytes) {
		return new String(bytes, StandardCharsets.UTF_8);
	}

	static List<String> lines(byte[] bytes) {
		return (bytes.length == 0) ? List.of() : List.of(text(bytes).split("\n"));
	}

	private static boolean isCall(LogAction action) {
		return action instanceof LogAction.Write || action instanceof LogAction.Read
				|| action instanceof LogAction.ListKeys;
	}

}
