package io.lentilstream.jobs.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

/**
 * A codec that stores job submissions as MessagePack arrays.
 */
public final class SubmissionCodec {

	private static final int VERSION = 1;

	private static final int FIELDS = 9;

	private static final int STEP_FIELDS = 17;

	private SubmissionCodec() {
	}

	/**
	 * Encodes a submission. The id of the job is not included.
	 * @param submission the submission
	 * @return the encoded bytes
	 */
	public static byte[] encode(JobSubmission submission) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(FIELDS);
			packer.packInt(VERSION);
			packer.packString(submission.queue());
			packPolicy(packer, submission.policy());
			packer.packString(submission.payload());
			packer.packArrayHeader(submission.steps().size());
			for (StepSpec step : submission.steps()) {
				packStep(packer, step);
			}
			packer.packInt(submission.schedule().occurrences());
			packer.packLong(submission.schedule().firstMillis());
			packer.packLong(submission.schedule().intervalMillis());
			packer.packLong(submission.acceptedAtMillis());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to an in-memory buffer failed", ex);
		}
	}

	/**
	 * Decodes a submission.
	 * @param id the id under which the bytes are stored
	 * @param bytes the encoded bytes
	 * @return the submission
	 * @throws DecodeException if the bytes are corrupt or have an unsupported version
	 */
	public static JobSubmission decode(JobId id, byte[] bytes) throws DecodeException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int fields = unpacker.unpackArrayHeader();
			int version = unpacker.unpackInt();
			if (fields != FIELDS || version != VERSION) {
				throw new DecodeException("unsupported version of job submission: " + version, null);
			}
			String queue = unpacker.unpackString();
			QueuePolicy policy = unpackPolicy(unpacker);
			String payload = unpacker.unpackString();
			int count = unpacker.unpackArrayHeader();
			List<StepSpec> steps = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				steps.add(unpackStep(unpacker));
			}
			JobSubmission.Schedule schedule = new JobSubmission.Schedule(unpacker.unpackInt(), unpacker.unpackLong(),
					unpacker.unpackLong());
			return new JobSubmission(id, queue, policy, payload, List.copyOf(steps), schedule, unpacker.unpackLong());
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new DecodeException("job submission cannot be decoded", ex);
		}
	}

	private static void packPolicy(MessagePacker packer, QueuePolicy policy) throws IOException {
		packer.packArrayHeader(5);
		packer.packString(policy.service().value());
		packer.packInt(policy.priority());
		packer.packInt(policy.maxAttempts());
		packer.packDouble(policy.stretch());
		packer.packLong(policy.objectiveMillis());
	}

	private static QueuePolicy unpackPolicy(MessageUnpacker unpacker) throws IOException {
		unpacker.unpackArrayHeader();
		return new QueuePolicy(new ServiceName(unpacker.unpackString()), unpacker.unpackInt(), unpacker.unpackInt(),
				unpacker.unpackDouble(), unpacker.unpackLong());
	}

	private static void packStep(MessagePacker packer, StepSpec step) throws IOException {
		packer.packArrayHeader(STEP_FIELDS);
		packer.packInt(step.count());
		packer.packLong(step.size().milliCores());
		packer.packLong(step.size().memoryMegabytes());
		packer.packLong(step.size().accelerators());
		packer.packLong(step.estimateMillis());
		packer.packArrayHeader(step.dependsOn().size());
		for (int dependency : step.dependsOn()) {
			packer.packInt(dependency);
		}
		StepSpec.Traits traits = step.traits();
		packer.packBoolean(traits.checkpointing());
		packer.packBoolean(traits.gang());
		packer.packBoolean(traits.speculative());
		packer.packBoolean(traits.longRunning());
		packer.packBoolean(traits.bestEffort());
		StepSpec.Placement placement = step.placement();
		packer.packString(placement.requiredLabel());
		packer.packString(placement.affinityRack());
		packer.packBoolean(placement.sameRack());
		packer.packInt(placement.maxPerWorker());
		packer.packString(step.image());
		packer.packArrayHeader(2);
		packer.packDouble(step.targetMillis());
		packer.packInt(step.maxUnavailable());
	}

	private static StepSpec unpackStep(MessageUnpacker unpacker) throws IOException {
		unpacker.unpackArrayHeader();
		int count = unpacker.unpackInt();
		Resources size = new Resources(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
		long estimate = unpacker.unpackLong();
		int dependencyCount = unpacker.unpackArrayHeader();
		List<Integer> dependsOn = new ArrayList<>();
		for (int i = 0; i < dependencyCount; i++) {
			dependsOn.add(unpacker.unpackInt());
		}
		StepSpec.Traits traits = new StepSpec.Traits(unpacker.unpackBoolean(), unpacker.unpackBoolean(),
				unpacker.unpackBoolean(), unpacker.unpackBoolean(), unpacker.unpackBoolean());
		StepSpec.Placement placement = new StepSpec.Placement(unpacker.unpackString(), unpacker.unpackString(),
				unpacker.unpackBoolean(), unpacker.unpackInt());
		String image = unpacker.unpackString();
		unpacker.unpackArrayHeader();
		return new StepSpec(count, size, estimate, List.copyOf(dependsOn), traits, placement, image,
				unpacker.unpackDouble(), unpacker.unpackInt());
	}

}
