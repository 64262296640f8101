package io.lentilstream.clients.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import okhttp3.HttpUrl;
import okhttp3.Request;

import io.lentilstream.clients.VmDirectory;
import io.lentilstream.clients.VmEntry;
import io.lentilstream.model.AvailabilityZoneId;

/**
 * Reads the list of VMs over HTTP.
 */
public final class HttpVmDirectory implements VmDirectory {

	private final HttpCalls calls;

	private final HttpUrl base;

	/**
	 * Creates a client.
	 * @param calls sends the requests
	 * @param baseUrl the address of the list, such as
	 * {@code http://10.0.0.1:80/directory}
	 */
	public HttpVmDirectory(HttpCalls calls, String baseUrl) {
		this.calls = calls;
		this.base = HttpUrl.get(baseUrl);
	}

	@Override
	public CompletableFuture<Optional<List<VmEntry>>> list(AvailabilityZoneId zone) {
		HttpUrl url = this.base.newBuilder().addPathSegment(zone.value()).build();
		return this.calls
			.send(() -> new Request.Builder().url(url), this.calls.settings().callTimeout(), AnswerCheck.NONE)
			.thenApply(HttpVmDirectory::entries);
	}

	private static Optional<List<VmEntry>> entries(HttpResult result) {
		if (!(result instanceof HttpResult.Whole whole) || whole.status() != JsonAnswers.OK) {
			return Optional.empty();
		}
		return JsonAnswers.read(whole, PlatformMessages.VmsAnswer.class,
				(answer) -> answer.vms().stream().map(PlatformJson::entry).toList());
	}

}
