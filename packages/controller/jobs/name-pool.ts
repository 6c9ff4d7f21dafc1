/** Shares equal strings among records. */

/** The pool starts again with this number of names, so that names that no record has any more do not stay. */
const MAX_NAMES = 4096;

/**
 * Names of which one instance each is kept. Records are decoded one by one, each with its own copies of its team, class,
 * image and machine types, although few names occur in many records.
 */
export class NamePool {
  private readonly names = new Map<string, string>();

  /** Returns an equal name, which is the same instance for equal names if possible. */
  share(name: string): string {
    const known = this.names.get(name);
    if (known !== undefined) return known;
    if (this.names.size >= MAX_NAMES) this.names.clear();
    this.names.set(name, name);
    return name;
  }
}
