/**
 * Value types for ids, time, resources and outcomes that all modules share.
 */
package io.lentilstream.model;
