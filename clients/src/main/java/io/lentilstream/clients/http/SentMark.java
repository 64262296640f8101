package io.lentilstream.clients.http;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Remembers whether a call started to write its request. The listener and the result
 * callback of a call run on the same thread, or the callback runs after the listener.
 */
final class SentMark extends EventListener {

	private volatile boolean sent;

	boolean isSent() {
		return this.sent;
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.sent = true;
	}

}
