package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.JobId;
import io.lentilstream.model.TeamId;

/**
 * The key by which submissions of a job are deduplicated.
 *
 * @param team the team
 * @param job the key of the job within its team
 */
record JobKey(TeamId team, JobId job) {
}
