/** The image cache of one machine and its fetches. */
import type { Clock, Timer } from '#wire';

/** A task's claim on an image, from the start command until the task has left the machine. */
export interface ImageClaim {
  /** Whether the image was in the cache already, so that there is no callback. */
  readonly ready: boolean;
  /** Releases the claim. The fetch of an image without claims is cancelled. */
  release(): void;
}

/** A missing amount up to this size is a rounding error: the image counts as complete. */
const ROUNDING_TOLERANCE_GB = 1e-9;

interface Image {
  name: string;
  sizeGb: number;
  /** Amount that is still to be fetched. */
  missingGb: number;
  claims: Set<() => void>;
  lastUsedAt: number;
}

/** Fetches each image once for all tasks of a machine, and evicts the least recently used images. */
export class ImageCache {
  private readonly images = new Map<string, Image>();
  private updatedAt: number;
  private arrivalTimer: Timer | null = null;
  private paused = false;

  constructor(
    private readonly clock: Clock,
    private readonly capacityGb: number,
    /** Total fetch rate, shared by all fetches in progress. */
    private readonly fetchGbPerS: number,
  ) {
    this.updatedAt = clock.now();
  }

  /** Claims an image. Calls back when the image is fetched, unless it is in the cache already. */
  claim(name: string, sizeGb: number, onReady: () => void): ImageClaim {
    this.updateFetched();
    const image = this.images.get(name) ?? this.add(name, sizeGb);
    image.claims.add(onReady);
    image.lastUsedAt = this.clock.now();
    this.scheduleNextArrival();
    return {
      ready: image.missingGb === 0,
      release: () => {
        this.release(image, onReady);
      },
    };
  }

  /** Stops all fetches until resume() is called. */
  pause(): void {
    this.updateFetched();
    this.paused = true;
    this.scheduleNextArrival();
  }

  resume(): void {
    this.updatedAt = this.clock.now();
    this.paused = false;
    this.scheduleNextArrival();
  }

  private add(name: string, sizeGb: number): Image {
    const image: Image = { name, sizeGb, missingGb: sizeGb, claims: new Set(), lastUsedAt: 0 };
    this.images.set(name, image);
    return image;
  }

  private release(image: Image, onReady: () => void): void {
    this.updateFetched();
    image.claims.delete(onReady);
    image.lastUsedAt = this.clock.now();
    if (image.claims.size === 0 && image.missingGb > 0) this.images.delete(image.name);
    this.scheduleNextArrival();
  }

  private fetching(): Image[] {
    return [...this.images.values()].filter((image) => image.missingGb > 0);
  }

  /** Updates the missing amounts of all fetches, which share the rate equally. */
  private updateFetched(): void {
    const now = this.clock.now();
    const fetching = this.fetching();
    if (!this.paused && fetching.length > 0) {
      const eachGb = ((now - this.updatedAt) * this.fetchGbPerS) / fetching.length;
      for (const image of fetching) {
        const leftGb = image.missingGb - eachGb;
        image.missingGb = leftGb > ROUNDING_TOLERANCE_GB ? leftGb : 0;
      }
    }
    this.updatedAt = now;
  }

  private scheduleNextArrival(): void {
    this.arrivalTimer?.cancel();
    this.arrivalTimer = null;
    const fetching = this.fetching();
    if (this.paused || fetching.length === 0) return;
    const leastGb = Math.min(...fetching.map((image) => image.missingGb));
    const waitS = (leastGb * fetching.length) / this.fetchGbPerS;
    this.arrivalTimer = this.clock.setTimer(() => {
      this.finishFetches(fetching);
    }, waitS * 1000);
  }

  private finishFetches(fetching: Image[]): void {
    this.updateFetched();
    const arrived = fetching.filter((image) => image.missingGb === 0);
    this.evict();
    this.scheduleNextArrival();
    for (const image of arrived) {
      for (const onReady of [...image.claims]) {
        if (image.claims.has(onReady)) onReady();
      }
    }
  }

  /** Removes unclaimed images, least recently used first, until the rest fits into the capacity. */
  private evict(): void {
    const unused = [...this.images.values()]
      .filter((image) => image.claims.size === 0)
      .sort((first, second) => first.lastUsedAt - second.lastUsedAt);
    let heldGb = [...this.images.values()].reduce((sum, image) => sum + image.sizeGb, 0);
    for (const image of unused) {
      if (heldGb <= this.capacityGb) return;
      this.images.delete(image.name);
      heldGb -= image.sizeGb;
    }
  }
}
