/** Answers of replicas, and the check that all members of one generation contributed to each answer. */

/** Mark that a member of a replica adds to an answer to which it contributed. */
export interface Mark {
  member: number;
  generation: number;
  machine: string;
}

/** Answer of a replica to one request, with the marks of the members that contributed. */
export interface Answer {
  atS: number;
  job: string;
  /** Index of the first task of the replica. */
  firstTask: number;
  memberCount: number;
  marks: Mark[];
}

/** Answers that lack the mark of a member or have marks of several generations. */
export function brokenAnswers(answers: Answer[]): Answer[] {
  return answers.filter(({ memberCount, marks }) => {
    const generations = new Set(marks.map(({ generation }) => generation));
    const marked = new Set(marks.map(({ member }) => member));
    return generations.size > 1 || marked.size < memberCount;
  });
}

/** Describes an answer and its marks in one line. */
export function describeAnswer({ atS, job, firstTask, memberCount, marks }: Answer): string {
  const by = marks.map(({ member, generation, machine }) => `${member}@${machine}#${generation}`);
  return `${atS.toFixed(3)} s ${job}/${firstTask}: ${memberCount} members, marked by ${by.join(', ')}`;
}
