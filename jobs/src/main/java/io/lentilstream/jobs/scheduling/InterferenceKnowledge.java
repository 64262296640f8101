package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.InterferenceSnapshot;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.jobs.codec.InterferenceCodec;

/**
 * The learned interference between images as carried knowledge.
 */
final class InterferenceKnowledge implements CarriedKnowledge {

	private static final byte[] NOTHING = new byte[0];

	private final InterferenceModel model;

	InterferenceKnowledge(InterferenceModel model) {
		this.model = model;
	}

	@Override
	public String name() {
		return "interference";
	}

	@Override
	public byte[] snapshot() {
		InterferenceSnapshot snapshot = this.model.snapshot();
		return snapshot.bases().isEmpty() ? NOTHING : InterferenceCodec.encode(snapshot);
	}

	@Override
	public void restore(byte[] snapshot, long ageMillis) throws DecodeException {
		this.model.restore(InterferenceCodec.decode(snapshot));
	}

}
