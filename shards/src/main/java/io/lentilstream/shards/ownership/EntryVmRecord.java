package io.lentilstream.shards.ownership;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.shards.RecordFormat;
import io.lentilstream.shards.RecordFormatException;

/**
 * The registration record of a live entry VM. The store deletes it when the lease of the
 * VM ends.
 *
 * @param lease the lease of the process
 * @param leaving whether the process is shutting down and acquires no more shards
 * @param scopes the scopes in which the VM may own shards
 */
public record EntryVmRecord(LeaseId lease, boolean leaving, List<String> scopes) {

	private static final int FORMAT = 1;

	/**
	 * Encodes the record.
	 * @return the bytes
	 */
	public byte[] encode() {
		return RecordFormat.encode(FORMAT, (packer) -> {
			packer.packLong(this.lease.value());
			packer.packBoolean(this.leaving);
			packer.packArrayHeader(this.scopes.size());
			for (String scope : this.scopes) {
				packer.packString(scope);
			}
		});
	}

	/**
	 * Decodes a record.
	 * @param bytes the bytes
	 * @return the record
	 * @throws RecordFormatException if the version is unknown or the bytes are damaged
	 */
	public static EntryVmRecord decode(byte[] bytes) throws RecordFormatException {
		return RecordFormat.decode("entry record", FORMAT, bytes, (unpacker) -> {
			LeaseId lease = new LeaseId(unpacker.unpackLong());
			boolean leaving = unpacker.unpackBoolean();
			int count = unpacker.unpackArrayHeader();
			List<String> scopes = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				scopes.add(unpacker.unpackString());
			}
			return new EntryVmRecord(lease, leaving, scopes);
		});
	}

}
