package io.lentilstream.control.term;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.scheduling.JobScheduler;
import io.lentilstream.jobs.scheduling.LeadershipLease;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerRegistryTests {

	private static final int TERM = 3;

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final JobScheduler scheduler = new JobScheduler(new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of()),
			new UnansweredCommands(), (decision, subject, inputs) -> {
			}, this.loop::now, this.loop::wallClockMillis, LeadershipLease.unlimited(0));

	private int superseded;

	private final WorkerRegistry registry = registry();

	private WorkerRegistry registry() {
		this.store.commit(new Commit().write(Leadership.LEADER_KEY, new byte[1], 0), (reply) -> {
		});
		this.loop.runFor(10);
		WorkerRegistry created = new WorkerRegistry(this.loop, this.store, this.scheduler, TERM, new FencingTokens(2),
				() -> this.superseded++);
		created.initialize(new StoredItem(JobKeys.WORKERS, null, 0, 0), RegisteredWorkers.NONE);
		return created;
	}

	@Test
	void aVmIsListedOnlyAfterItIsStored() {
		this.registry.workerListed(worker("w1"));
		this.registry.store();
		assertThat(this.scheduler.workers()).isEmpty();
		this.loop.runFor(20);
		assertThat(this.scheduler.workers()).hasSize(1);
		assertThat(stored()).containsExactly("w1");
	}

	@Test
	void aVmThatWasRemovedIsStoredAgainBeforeItIsListed() {
		this.registry.workerListed(worker("w1"));
		this.registry.store();
		this.loop.runFor(20);
		this.registry.workerUnlisted(new WorkerId("w1"), true);
		for (int i = 0; i < 200; i++) {
			this.scheduler.tick();
			this.loop.runFor(100);
		}
		assertThat(this.scheduler.workers()).isEmpty();
		this.registry.workerListed(worker("w2"));
		this.registry.store();
		this.loop.runFor(20);
		assertThat(stored()).containsExactly("w2");
		this.registry.workerListed(worker("w1"));
		assertThat(this.scheduler.workers()).extracting((worker) -> worker.id().value()).containsExactly("w2");
		this.registry.store();
		this.loop.runFor(20);
		assertThat(stored()).containsExactlyInAnyOrder("w1", "w2");
		assertThat(this.scheduler.workers()).hasSize(2);
	}

	@Test
	void aVmThatIsGoneIsRemovedFromTheStore() {
		this.registry.workerListed(worker("w1"));
		this.registry.workerListed(worker("w2"));
		this.registry.store();
		this.loop.runFor(20);
		this.registry.workerUnlisted(new WorkerId("w1"), true);
		for (int i = 0; i < 10; i++) {
			this.scheduler.tick();
			this.loop.runFor(100);
		}
		this.registry.store();
		this.loop.runFor(20);
		assertThat(stored()).containsExactly("w2");
	}

	@Test
	void aVmThatReturnsWhileItIsBeingRemovedIsStoredAgainFirst() {
		this.registry.workerListed(worker("w1"));
		this.registry.store();
		this.loop.runFor(20);
		this.registry.workerUnlisted(new WorkerId("w1"), true);
		for (int i = 0; i < 10; i++) {
			this.scheduler.tick();
			this.loop.runFor(100);
		}
		this.registry.store();
		this.registry.workerListed(worker("w1"));
		assertThat(this.scheduler.workers()).isEmpty();
		this.loop.runFor(20);
		assertThat(stored()).containsExactly("w1");
		assertThat(this.scheduler.workers()).hasSize(1);
	}

	@Test
	void theLeasesOfSilentVmsAreStored() {
		this.registry.workerListed(worker("w1"));
		this.registry.store();
		this.loop.runFor(20);
		this.scheduler.start(List.of(worker("w1")));
		for (int i = 0; i < 20; i++) {
			this.scheduler.tick();
			this.loop.runFor(100);
		}
		this.registry.store();
		this.loop.runFor(20);
		assertThat(registered().expiringLeases()).containsOnlyKeys(new WorkerId("w1"));
		assertThat(registered().expiringLeases().values())
			.allMatch((millis) -> millis > 0 && millis < 4000 + 6300 - 1500);
	}

	@Test
	void valuesOfEarlierVersionsAreReadable() {
		byte[] bytes = new RegisteredWorkers(List.of(worker("w1")), Map.of(), 0).encode();
		byte[] earlier = Arrays.copyOf(bytes, bytes.length - 2);
		RegisteredWorkers decoded = RegisteredWorkers.decode(earlier, (ex) -> {
			throw new IllegalStateException(ex);
		});
		assertThat(decoded.workers()).hasSize(1);
		assertThat(decoded.term()).isEqualTo(RegisteredWorkers.NO_TERM);
	}

	@Test
	void theTermIsStoredWithTheLeases() {
		this.registry.store();
		this.loop.runFor(20);
		assertThat(registered().term()).isEqualTo(TERM);
	}

	@Test
	void aSupersededLeaderIsNotified() {
		this.store.put(Leadership.LEADER_KEY, new byte[2]);
		this.registry.workerListed(worker("w1"));
		this.registry.store();
		this.loop.runFor(20);
		assertThat(this.superseded).isEqualTo(1);
		assertThat(this.scheduler.workers()).isEmpty();
	}

	private List<String> stored() {
		return registered().workers().stream().map((worker) -> worker.id().value()).toList();
	}

	// Guards against leaders that end when they store the VMs of an earlier leader again.
	@Test
	void aStoredVmWhoseAddressNamesAnInterfaceOfAnotherMachineIsStoredAgain() throws IOException {
		MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
		packer.packArrayHeader(1).packString("w1").packLong(1).packString("s");
		packer.packString("fe80:0:0:0:0:0:0:1%gone0").packInt(8080);
		packer.packMapHeader(0).packInt(TERM - 1);
		byte[] again = RegisteredWorkers.decode(packer.toByteArray(), WorkerRegistryTests::fail).encode();
		assertThat(RegisteredWorkers.decode(again, WorkerRegistryTests::fail).workers())
			.extracting((worker) -> worker.id().value())
			.containsExactly("w1");
	}

	private static void fail(Exception ex) {
		throw new AssertionError(ex);
	}

	private RegisteredWorkers registered() {
		return RegisteredWorkers.decode(this.store.value(JobKeys.WORKERS), (ex) -> {
			throw new IllegalStateException(ex);
		});
	}

	private static WorkerListing worker(String id) {
		return new WorkerListing(new WorkerId(id), 5, new ServiceName("press"), new InetSocketAddress("127.0.0.1", 1),
				"a", false, "r1", new Resources(1000, 1000, 0), Set.of());
	}

	/**
	 * Rejects all commands but report requests, which get no response.
	 */
	private final class UnansweredCommands implements WorkerCommands {

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected command, since no job was submitted");
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected command, since no job was submitted");
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected command, since no job was submitted");
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			WorkerRegistryTests.this.loop.schedule(300,
					() -> callback.accept(new ReportResult.Missing(new CommandResult.Unknown())));
		}

	}

}
