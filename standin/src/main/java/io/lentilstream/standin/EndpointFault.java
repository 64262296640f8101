package io.lentilstream.standin;

/**
 * What an endpoint does wrong with a request.
 */
public enum EndpointFault {

	/** Nothing. */
	NONE,

	/** It closes the connection without running the request. */
	CLOSES_ON_ARRIVAL,

	/** It runs the request and closes the connection before the first header. */
	CLOSES_BEFORE_HEADERS,

	/** It runs the request and closes the connection in a body of known length. */
	CLOSES_IN_BODY,

	/** It runs the request and closes the connection in a chunked body. */
	CLOSES_IN_CHUNKS,

	/** It runs the request and writes the answer twice. */
	ANSWERS_TWICE,

	/** It runs the request and answers after an extra delay. */
	ANSWERS_LATE,

	/** It runs the request and answers with the id and body of another request. */
	ANSWERS_OTHER_REQUEST,

	/** It runs the request and never answers; the slot stays in use. */
	HANGS,

	/** It refuses the request as if it were full. */
	REFUSES,

	/** It refuses the request because it is leaving. */
	REFUSES_AS_LEAVING

}
