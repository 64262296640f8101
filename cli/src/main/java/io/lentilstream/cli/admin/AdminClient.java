package io.lentilstream.cli.admin;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * An HTTP client for the administration API of one entry VM. It does not retry.
 */
final class AdminClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final MediaType JSON = MediaType.get("application/json");

	private static final long TIMEOUT_SECONDS = 20;

	private final AdminOptions options;

	private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
		.retryOnConnectionFailure(false)
		.build();

	AdminClient(AdminOptions options) {
		this.options = options;
	}

	AdminResponse get(String path) throws IOException {
		return call(new Request.Builder().get(), path);
	}

	AdminResponse post(String path, JsonNode body) throws IOException {
		return call(new Request.Builder().post(RequestBody.create(bytes(body), JSON)), path);
	}

	private AdminResponse call(Request.Builder request, String path) throws IOException {
		Request call = request.url(this.options.url() + path)
			.header("Authorization", "Bearer " + this.options.key())
			.build();
		try (Response response = this.client.newCall(call).execute()) {
			return new AdminResponse(response.code(), MAPPER.readTree(response.body().bytes()));
		}
	}

	private static byte[] bytes(JsonNode body) {
		try {
			return MAPPER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a request cannot be written as JSON", ex);
		}
	}

	/**
	 * A response of the administration API.
	 *
	 * @param status the HTTP status code
	 * @param body the parsed JSON body
	 */
	record AdminResponse(int status, JsonNode body) {

		boolean isOk() {
			return this.status == 200;
		}

	}

}
