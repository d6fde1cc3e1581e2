/**
 * Weighted least squares from sums that several nodes add up, with bounds.
 *
 * The sums of products of an observation's features and outcome are all that a fit
 * needs, and sums of several nodes can be added. The fit is drawn to a prior by
 * ridge regression (Hoerl and Kennard, 1970), so that it is usable before the first
 * observation, and found by coordinate descent, which keeps each coefficient within
 * its bounds.
 */

/** Passes of coordinate descent; few coefficients converge within them. */
const passes = 40;

/** What a coefficient is without observations, and what it can be. */
export interface CoefficientPrior {
  readonly value: number;
  /** Sum of squares of the feature at which observations weigh as much. */
  readonly weight: number;
  readonly least: number;
  readonly most: number;
}

/** Sums of products of one fit. */
export class ProductSums {
  /** Products of features, row by row, then products with the outcome. */
  readonly #values: number[];
  readonly #features: number;

  private constructor(features: number) {
    this.#features = features;
    this.#values = new Array(ProductSums.computeLength(features)).fill(0);
  }

  static create(features: number): ProductSums {
    return new ProductSums(features);
  }

  /** Number of sums of a fit. */
  static computeLength(features: number): number {
    return features * (features + 1) / 2 + features;
  }

  /** Adds one observation. */
  add(features: readonly number[], outcome: number, weight: number): void {
    let index = 0;
    for (const [row, a] of features.entries()) {
      for (const b of features.slice(row)) this.addAt(index++, a * b * weight);
    }
    for (const a of features) this.addAt(index++, a * outcome * weight);
  }

  /** Adds to one sum. */
  addAt(index: number, change: number): void {
    if (index >= this.#values.length) return;
    this.#values[index] = (this.#values[index] ?? 0) + change;
  }

  /** Multiplies all sums, to forget a share of what they hold. */
  scale(factor: number): void {
    for (const [index, value] of this.#values.entries()) {
      this.#values[index] = value * factor;
    }
  }

  list(): readonly number[] {
    return this.#values;
  }

  /** Computes the coefficients that fit best. */
  computeFit(priors: readonly CoefficientPrior[]): readonly number[] {
    const fit = priors.map(({ value }) => value);
    for (let pass = 0; pass < passes; pass += 1) {
      for (const [row, prior] of priors.entries()) {
        fit[row] = this.#computeCoefficient(fit, row, prior);
      }
    }
    return fit;
  }

  #computeCoefficient(
    fit: readonly number[],
    row: number,
    { value, weight, least, most }: CoefficientPrior,
  ): number {
    let rest = this.#readOutcome(row) + weight * value;
    for (const [column, other] of fit.entries()) {
      if (column !== row) rest -= this.#readProduct(row, column) * other;
    }
    const best = rest / (this.#readProduct(row, row) + weight);
    return Math.min(most, Math.max(least, best));
  }

  #readProduct(a: number, b: number): number {
    const row = Math.min(a, b);
    const before = row * this.#features - row * (row - 1) / 2;
    return this.#values[before + Math.abs(a - b)] ?? 0;
  }

  #readOutcome(row: number): number {
    const products = this.#features * (this.#features + 1) / 2;
    return this.#values[products + row] ?? 0;
  }
}
