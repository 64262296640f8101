/**
 * What callers may ask of a control process.
 */
package io.lentilstream.control.api;
