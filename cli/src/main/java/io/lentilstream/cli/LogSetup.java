package io.lentilstream.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

import io.lentilstream.settings.process.LogFormat;

/**
 * The logging configuration: all logs go to standard error, as text or as JSON lines.
 */
final class LogSetup {

	private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n";

	/**
	 * Loggers of libraries whose messages below WARN repeat the logs of this project.
	 */
	private static final String[] LIBRARY_LOGGERS = { "io.jooby", "io.netty", "okhttp3" };

	private LogSetup() {
	}

	static void apply(LogFormat format) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		Encoder<ILoggingEvent> encoder = (format == LogFormat.JSON) ? new LogstashEncoder() : textEncoder();
		encoder.setContext(context);
		encoder.start();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setTarget("System.err");
		appender.setEncoder(encoder);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(appender);
		for (String name : LIBRARY_LOGGERS) {
			context.getLogger(name).setLevel(Level.WARN);
		}
	}

	/**
	 * Logs errors only, for commands that print their own progress to the terminal.
	 */
	static void logErrorsOnly() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.ERROR);
		for (String name : LIBRARY_LOGGERS) {
			context.getLogger(name).setLevel(Level.ERROR);
		}
	}

	private static Encoder<ILoggingEvent> textEncoder() {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setPattern(PATTERN);
		return encoder;
	}

}
