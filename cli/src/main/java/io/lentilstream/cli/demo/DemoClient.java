package io.lentilstream.cli.demo;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * An asynchronous HTTP client for the demonstration. A failed connection completes the
 * future with status 0 and is not retried.
 */
final class DemoClient implements AutoCloseable {

	/**
	 * Timeout of a whole call, in milliseconds. It exceeds the time within which an entry
	 * VM answers a call to the owner of a shard.
	 */
	static final long CALL_TIMEOUT_MILLIS = 15_000;

	private static final int MAX_CONCURRENT_CALLS = 512;

	private static final byte[] NO_BODY = new byte[0];

	private final OkHttpClient client;

	DemoClient() {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.retryOnConnectionFailure(false)
			.connectTimeout(500, TimeUnit.MILLISECONDS)
			.readTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.callTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.build();
	}

	CompletableFuture<DemoResponse> send(String method, String url, Map<String, String> headers, byte[] body) {
		RequestBody content = method.equals("GET") ? null : RequestBody.create(body);
		Request.Builder request = new Request.Builder().url(url).method(method, content);
		headers.forEach(request::header);
		CompletableFuture<DemoResponse> future = new CompletableFuture<>();
		this.client.newCall(request.build()).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				future.complete(new DemoResponse(0, NO_BODY));
			}

			@Override
			public void onResponse(Call call, Response response) {
				future.complete(read(response));
			}

		});
		return future;
	}

	private static DemoResponse read(Response response) {
		try (response) {
			return new DemoResponse(response.code(), response.body().bytes());
		}
		catch (IOException ex) {
			return new DemoResponse(0, NO_BODY);
		}
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdownNow();
		this.client.connectionPool().evictAll();
	}

}
