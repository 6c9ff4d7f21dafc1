/** Checks the classes of replica groups against the platform's settings. */
import type { ReplicaClasses } from '#replicas';
import type { PlatformSettings } from './platform-settings.js';
import type { SettingsProblem } from './settings-error.js';

/** Kinds of objectives of classes whose jobs end by themselves. Jobs of services do not. */
const BATCH_OBJECTIVE_KINDS = ['finished', 'deadline'];

/** The first contradiction between the classes of replica groups and the platform's settings, or null. */
export function checkReplicaClasses(
  { deployment }: PlatformSettings,
  classes: ReplicaClasses | null,
): SettingsProblem | null {
  for (const name of Object.keys(classes ?? {})) {
    const field = `replicaGroups.${name}`;
    const objectives = deployment.objectives.filter((each) => each.class === name);
    if (objectives.length === 0) {
      return { field, reason: "no objective of the platform's settings names this class" };
    }
    const batchObjective = objectives.find(({ kind }) => BATCH_OBJECTIVE_KINDS.includes(kind));
    if (batchObjective) {
      const reason = `is no class of services, since an objective of kind ${batchObjective.kind} says that its jobs end`;
      return { field, reason };
    }
  }
  return null;
}
