/** What was answered by whom, and what of it was not the work of one whole generation. */

/** That a member took part in an answer. */
export interface Mark {
  member: number;
  generation: number;
  machine: string;
}

/** The answer to one request and the members that took part in it. */
export interface Answer {
  atS: number;
  job: string;
  /** First task of the replica. */
  first: number;
  members: number;
  marks: Mark[];
}

/** Answers that lack a member's mark, or bear marks of two generations. */
export function brokenAnswers(answers: Answer[]): Answer[] {
  return answers.filter(({ members, marks }) => {
    const generations = new Set(marks.map(({ generation }) => generation));
    const marked = new Set(marks.map(({ member }) => member));
    return generations.size > 1 || marked.size < members;
  });
}

/** One line for a broken answer. */
export function describeAnswer({ atS, job, first, members, marks }: Answer): string {
  const by = marks.map(({ member, generation, machine }) => `${member}@${machine}#${generation}`);
  return `${atS.toFixed(3)} s ${job}/${first}: ${members} members, marked by ${by.join(', ')}`;
}
