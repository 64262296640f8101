package io.lentilstream.jobs.scheduling;

import java.util.Arrays;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.InterferenceCodec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for what a leader learns and its successor needs.
 */
class CarriedKnowledgeTests {

	private static final StepSpec.Traits BEST_EFFORT = new StepSpec.Traits(true, false, false, false, true);

	@Test
	void aSchedulerHandsOverAllKindsOfKnowledge() {
		assertThat(worldWithServingTask().scheduler.carriedKnowledge()).extracting(CarriedKnowledge::name)
			.contains("interference", "worker-conditions");
	}

	@Test
	void aSuccessorStartsWithTheSensitivitiesOfItsPredecessorAndGivesUpWrongOnesSoon() throws Exception {
		InterferenceModel model = trained();
		double learned = model.sensitivity("serving", "disturbing");
		assertThat(learned).isGreaterThan(1.5);
		InterferenceModel next = handedOver(model);
		assertThat(next.sensitivity("serving", "disturbing")).isCloseTo(learned, within(0.001));
		for (int i = 0; i < 20; i++) {
			next.observe("serving", 0.4, Map.of("disturbing", 0.25));
		}
		assertThat(next.sensitivity("serving", "disturbing")).isLessThan(learned / 2);
	}

	@Test
	void theLatencyWithoutBestEffortTasksIsNotLearnedAnew() throws Exception {
		InterferenceModel model = trained();
		InterferenceModel next = handedOver(model);
		for (int i = 0; i < 20; i++) {
			model.observe("serving", 0.2, Map.of("new", 0.25));
			next.observe("serving", 0.2, Map.of("new", 0.25));
		}
		assertThat(next.sensitivity("serving", "new")).isCloseTo(model.sensitivity("serving", "new"), within(0.1));
	}

	@Test
	void aSnapshotOfAnEarlierVersionIsUsedAsPrior() throws Exception {
		byte[] earlier = earlierFormat("serving", "disturbing", 4);
		InterferenceModel model = new InterferenceModel();
		new InterferenceKnowledge(model).restore(earlier, 0);
		assertThat(model.sensitivity("serving", "disturbing")).isEqualTo(4);
	}

	@Test
	void unreadableInterferenceRestoresNothing() {
		InterferenceModel model = new InterferenceModel();
		InterferenceKnowledge knowledge = new InterferenceKnowledge(model);
		byte[] bytes = InterferenceCodec.encode(trained().snapshot());
		for (int length = 0; length < bytes.length; length++) {
			byte[] cut = Arrays.copyOf(bytes, length);
			assertThatThrownBy(() -> knowledge.restore(cut, 0)).isInstanceOf(DecodeException.class);
		}
		assertThat(model.snapshot().bases()).isEmpty();
	}

	@Test
	void theSnapshotOfManyImagesIsBounded() {
		InterferenceModel model = new InterferenceModel();
		for (int serving = 0; serving < 60; serving++) {
			for (int other = 0; other < 60; other++) {
				model.observe("ledger-serving-image-" + serving, 0.5, Map.of("ledger-filling-image-" + other, 0.2));
			}
		}
		assertThat(new InterferenceKnowledge(model).snapshot().length).isLessThan(16_000);
	}

	@Test
	void theTimeOverTargetGoesOnWithTheSuccessor() {
		VirtualWorld world = worldWithServingTask();
		VirtualWorker vm = servingVm(world);
		vm.tail = 60;
		world.clock.runFor(1200);
		long since = world.overTargetSince(vm.id);
		assertThat(since).isPositive();
		world.takeOver();
		world.clock.runFor(400);
		assertThat(world.overTargetSince(vm.id)).isBetween(since, since + 50);
	}

	@Test
	void aTimeOverTargetThatHasEndedMeanwhileIsForgotten() {
		VirtualWorld world = worldWithServingTask();
		VirtualWorker vm = servingVm(world);
		vm.tail = 60;
		world.clock.runFor(1200);
		vm.tail = 20;
		world.takeOver();
		world.clock.runFor(400);
		assertThat(world.overTargetSince(vm.id)).isNegative();
	}

	@Test
	void aVmThatFailsAllTasksIsAvoidedByTheSuccessor() {
		VirtualWorld world = new VirtualWorld(1);
		world.addWorker("w1").failing = true;
		world.takeOver();
		world.clock.runFor(300);
		world.submit("failing", 0, VirtualWorld.step(4, 1000, 100));
		world.clock.runFor(700);
		assertThat(world.failures).isPositive();
		world.takeOver();
		int failures = world.failures;
		world.submit("next", 0, VirtualWorld.step(2, 1000, 100));
		world.clock.runFor(900);
		assertThat(world.failures).isEqualTo(failures);
	}

	@Test
	void aTaskThatThePredecessorPausedIsResumedSoon() {
		VirtualWorld world = worldWithServingTask();
		world.submit("filling", 1, VirtualWorld
			.withImage(VirtualWorld.withTraits(VirtualWorld.step(28, 1000, 60_000), BEST_EFFORT), "filling", -1));
		world.clock.runFor(1500);
		VirtualWorker vm = servingVm(world);
		vm.tail = 60;
		world.clock.runFor(2500);
		assertThat(vm.speeds).isNotEmpty().allSatisfy((task, speed) -> assertThat(speed).isZero());
		vm.tail = 15;
		world.takeOver();
		world.clock.runFor(1500);
		assertThat(vm.speeds).allSatisfy((task, speed) -> assertThat(speed).isEqualTo(100));
	}

	@Test
	void unreadableConditionsOfVmsRestoreNothing() {
		VirtualWorld world = worldWithServingTask();
		for (CarriedKnowledge kind : world.scheduler.carriedKnowledge()) {
			assertThatThrownBy(() -> kind.restore(new byte[] { 0x55, 1 }, 0)).isInstanceOf(DecodeException.class);
		}
	}

	private static VirtualWorld worldWithServingTask() {
		VirtualWorld world = new VirtualWorld(1);
		for (int i = 0; i < 4; i++) {
			world.addWorker("w" + i).tail = 15;
		}
		world.takeOver();
		world.clock.runFor(300);
		world.submit("serving", 0, VirtualWorld.withImage(VirtualWorld.withTraits(VirtualWorld.step(1, 2000, 60_000),
				new StepSpec.Traits(false, false, false, true, false)), "serving", 50));
		world.clock.runFor(1000);
		return world;
	}

	private static VirtualWorker servingVm(VirtualWorld world) {
		return world.workers.values()
			.stream()
			.filter((worker) -> worker.running.keySet().stream().anyMatch((task) -> world.specOf(task).serves()))
			.findFirst()
			.orElseThrow();
	}

	private static InterferenceModel trained() {
		InterferenceModel model = new InterferenceModel();
		for (int i = 0; i < 1000; i++) {
			double share = 0.05 * (i % 8);
			model.observe("serving", 0.2 * Math.exp(3 * share), (share > 0) ? Map.of("disturbing", share) : Map.of());
		}
		return model;
	}

	private static InterferenceModel handedOver(InterferenceModel model) throws DecodeException {
		InterferenceModel next = new InterferenceModel();
		new InterferenceKnowledge(next).restore(new InterferenceKnowledge(model).snapshot(), 0);
		return next;
	}

	private static byte[] earlierFormat(String serving, String bestEffort, float sensitivity) throws Exception {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(3).packString(serving).packString(bestEffort).packFloat(sensitivity);
			return packer.toByteArray();
		}
	}

}
