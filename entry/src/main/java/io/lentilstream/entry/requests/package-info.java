/**
 * Carries out the decisions about requests.
 */
package io.lentilstream.entry.requests;
