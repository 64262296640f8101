package io.lentilstream.administration;

import io.lentilstream.model.TeamId;
import io.lentilstream.settings.schema.SettingDefinition;
import io.lentilstream.settings.schema.SettingsSchema;

/**
 * Is what the holder of a key may do.
 */
public sealed interface Access {

	/**
	 * Tells whether a path may be read.
	 * @param path the path of a setting, a subtree or a document
	 * @return whether it may be read
	 */
	boolean mayRead(String path);

	/**
	 * Tells whether a setting may be changed.
	 * @param path the path of the setting
	 * @return whether it may be changed
	 */
	boolean mayChange(String path);

	/**
	 * Returns a value as it may be shown to anyone.
	 * @param path the path of the value
	 * @param value the value
	 * @return the value, or a placeholder if it is secret
	 */
	static String redact(String path, String value) {
		return SettingsSchema.find(path).map((SettingDefinition setting) -> setting.redact(value)).orElse(value);
	}

	/**
	 * May do everything.
	 */
	record Administrator() implements Access {

		@Override
		public boolean mayRead(String path) {
			return true;
		}

		@Override
		public boolean mayChange(String path) {
			return true;
		}

	}

	/**
	 * May read its team's subtree and change its services and kinds. Quota and keys limit
	 * the team itself, so only the administrator changes them.
	 *
	 * @param team the team
	 * @param keyName the name of the key, for the history
	 */
	record TeamOperator(TeamId team, String keyName) implements Access {

		@Override
		public boolean mayRead(String path) {
			return path.equals(root()) || path.startsWith(root() + "/");
		}

		@Override
		public boolean mayChange(String path) {
			return path.startsWith(root() + "/services/") || path.startsWith(root() + "/kinds/");
		}

		private String root() {
			return "/teams/" + this.team;
		}

	}

	/**
	 * May do nothing.
	 */
	record Denied() implements Access {

		@Override
		public boolean mayRead(String path) {
			return false;
		}

		@Override
		public boolean mayChange(String path) {
			return false;
		}

	}

}
