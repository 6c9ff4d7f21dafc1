import type { Answer } from '../../simulation/replica-traffic/answers.js';

/** The loss of a member through a fault. */
export interface Loss {
  atS: number;
  job: string;
  /** Whether a controller failed, too. */
  withController: boolean;
}

/** How long a replica had no whole generation, in seconds from the loss of a member. */
export interface RepairTime {
  withController: boolean;
  /** Time to the last answer of the generation that lost a member; 0 if it gave no answer after the loss. */
  lastAnswerAfterS: number;
  /** Time to the first answer in which all members took part, at least one of them of a newer generation. */
  wholeAfterS: number;
}

/** Derives repair times from the answers of replicas. Of several losses in the same repair, the first counts. */
export function repairTimes(answers: Answer[], losses: Loss[]): RepairTime[] {
  const byJob = new Map<string, Answer[]>();
  for (const answer of answers) {
    const list = byJob.get(answer.job);
    if (list) list.push(answer);
    else byJob.set(answer.job, [answer]);
  }
  const wholeAt = new Map<string, number>();
  const times: RepairTime[] = [];
  for (const { atS, job, withController } of losses) {
    if ((wholeAt.get(job) ?? -Infinity) > atS) continue;
    const jobAnswers = byJob.get(job) ?? [];
    const lostGeneration = newestGeneration(jobAnswers.filter((answer) => answer.atS <= atS));
    const later = jobAnswers.filter((answer) => answer.atS > atS);
    const whole = later.find(
      (answer) => isWhole(answer) && newestGeneration([answer]) > lostGeneration,
    );
    if (!whole) continue;
    wholeAt.set(job, whole.atS);
    const old = later.filter((answer) => answer.atS < whole.atS);
    const lastAnswerAfterS = Math.max(0, ...old.map((answer) => answer.atS - atS));
    times.push({ withController, lastAnswerAfterS, wholeAfterS: whole.atS - atS });
  }
  return times;
}

function isWhole({ marks, memberCount }: Answer): boolean {
  return marks.length === memberCount;
}

function newestGeneration(answers: Answer[]): number {
  return Math.max(0, ...answers.flatMap(({ marks }) => marks.map(({ generation }) => generation)));
}
