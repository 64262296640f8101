/**
 * Changes of settings, their history and access to them.
 */
package io.lentilstream.administration;
