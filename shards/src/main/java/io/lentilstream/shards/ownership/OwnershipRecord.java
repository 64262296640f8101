package io.lentilstream.shards.ownership;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.VmId;
import io.lentilstream.shards.RecordFormat;
import io.lentilstream.shards.RecordFormatException;

/**
 * The stored record of the owner of a shard.
 *
 * @param owner the owner, or the last owner if the shard was released
 * @param lease the store lease of that owner
 * @param epoch the epoch of that owner
 * @param released whether the owner confirmed that it stopped
 * @param clean whether the release left nothing that the next owner must hold back; a
 * release is not clean if the owner was still holding back work of an earlier owner
 */
public record OwnershipRecord(VmId owner, LeaseId lease, Epoch epoch, boolean released, boolean clean) {

	private static final int FORMAT = 1;

	/**
	 * Encodes the record.
	 * @return the bytes
	 */
	public byte[] encode() {
		return RecordFormat.encode(FORMAT, (packer) -> {
			packer.packString(this.owner.value());
			packer.packLong(this.lease.value());
			packer.packLong(this.epoch.value());
			packer.packBoolean(this.released);
			packer.packBoolean(this.clean);
		});
	}

	/**
	 * Decodes a record.
	 * @param bytes the bytes
	 * @return the record
	 * @throws RecordFormatException if the version is unknown or the bytes are damaged
	 */
	public static OwnershipRecord decode(byte[] bytes) throws RecordFormatException {
		return RecordFormat.decode("ownership record", FORMAT, bytes,
				(unpacker) -> new OwnershipRecord(new VmId(unpacker.unpackString()), new LeaseId(unpacker.unpackLong()),
						new Epoch(unpacker.unpackLong()), unpacker.unpackBoolean(), unpacker.unpackBoolean()));
	}

	static OwnershipRecord acquired(VmId owner, LeaseId lease, Epoch epoch) {
		return new OwnershipRecord(owner, lease, epoch, false, false);
	}

	OwnershipRecord asReleased(boolean cleanRelease) {
		return new OwnershipRecord(this.owner, this.lease, this.epoch, true, cleanRelease);
	}

}
