package io.lentilstream.administration;

import io.lentilstream.model.TeamId;
import io.lentilstream.settings.schema.SettingDefinition;
import io.lentilstream.settings.schema.SettingsSchema;

/**
 * The permissions of the holder of a key.
 */
public sealed interface Access {

	/**
	 * Tells whether a path may be read.
	 * @param path the path of a setting, a subtree or a document
	 * @return {@code true} if the holder may read it
	 */
	boolean mayRead(String path);

	/**
	 * Tells whether a setting may be changed.
	 * @param path the path of the setting
	 * @return {@code true} if the holder may change it
	 */
	boolean mayChange(String path);

	/**
	 * Returns a value in a form that is safe to show.
	 * @param path the path of the value
	 * @param value the value
	 * @return the value, or a placeholder if it is secret
	 */
	static String redact(String path, String value) {
		return SettingsSchema.find(path).map((SettingDefinition setting) -> setting.redact(value)).orElse(value);
	}

	/**
	 * Full access, for the administrator.
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
	 * Access of a team's operator, who may read the subtree of the team and change its
	 * services and kinds. Quota and keys restrict the team itself, so only the
	 * administrator may change them.
	 *
	 * @param team the team
	 * @param keyName the name of the key, recorded in the history
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
	 * No access.
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
