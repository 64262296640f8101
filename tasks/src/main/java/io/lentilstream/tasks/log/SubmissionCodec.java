package io.lentilstream.tasks.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskDeclaration;

/**
 * Encodes and decodes job submissions within log entries and snapshots.
 */
public final class SubmissionCodec {

	private SubmissionCodec() {
	}

	/**
	 * Writes a submission.
	 * @param packer the packer to write to
	 * @param submission the submission
	 * @throws IOException if the packer fails
	 */
	public static void write(MessagePacker packer, JobSubmission submission) throws IOException {
		packer.packString(submission.team().value());
		packer.packString(submission.job().value());
		packer.packInt(submission.urgency().ordinal());
		packer.packArrayHeader(submission.tasks().size());
		for (TaskDeclaration task : submission.tasks()) {
			packer.packLong(task.declared().milliCores());
			packer.packLong(task.declared().memoryMegabytes());
			packer.packLong(task.declared().accelerators());
			packer.packString(task.program());
			packer.packInt(task.count());
		}
	}

	/**
	 * Reads a submission.
	 * @param unpacker the unpacker to read from
	 * @return the submission
	 * @throws IOException if the input ends early
	 */
	public static JobSubmission read(MessageUnpacker unpacker) throws IOException {
		TeamId team = new TeamId(unpacker.unpackString());
		JobId job = new JobId(unpacker.unpackString());
		Urgency urgency = Urgency.values()[unpacker.unpackInt()];
		int count = unpacker.unpackArrayHeader();
		List<TaskDeclaration> tasks = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			Resources declared = new Resources(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
			tasks.add(new TaskDeclaration(declared, unpacker.unpackString(), unpacker.unpackInt()));
		}
		return new JobSubmission(team, job, urgency, tasks);
	}

}
