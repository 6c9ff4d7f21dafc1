import type { Answer } from '../../simulation/replica-traffic/answers.js';

/** The loss of a member, as a fault made it. */
export interface Loss {
  atS: number;
  job: string;
  /** A controller failed, too. */
  withController: boolean;
}

/** How long one replica was without a whole generation; seconds from the loss. */
export interface RepairTime {
  withController: boolean;
  /** Until the last answer of the generation that lost a member; 0 if there was none. */
  lastAnswerAfterS: number;
  /** Until the first whole answer in which a member took part that started after the loss. */
  wholeAfterS: number;
}

/** What the answers say of each loss; of losses in the same repair the first counts. */
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

function isWhole({ marks, members }: Answer): boolean {
  return marks.length === members;
}

function newestGeneration(answers: Answer[]): number {
  return Math.max(0, ...answers.flatMap(({ marks }) => marks.map(({ generation }) => generation)));
}
