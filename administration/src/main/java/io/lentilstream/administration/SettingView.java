package io.lentilstream.administration;

import io.lentilstream.model.Revision;

/**
 * The value of one setting as it is shown to operators.
 *
 * @param path the path
 * @param value the value in the store, or the default; secrets are redacted
 * @param isDefault whether the value is the default
 * @param revision the revision of the document
 */
public record SettingView(String path, String value, boolean isDefault, Revision revision) {
}
