/**
 * Draws among choices, the better ones with more weight.
 *
 * Nodes that decide at the same time know the same, so if each took the least cost all
 * would choose alike. A choice that is better by much more than is uncertain is drawn
 * nearly always; equal ones are drawn equally often.
 */

/** Choice with its cost. */
export interface CostedChoice {
  readonly cost: number;
  /** Difference of cost that can't be told; above 0. */
  readonly uncertainty: number;
}

/**
 * Draws one of the choices; `undefined` if there are none.
 *
 * @param draw Random number in [0, 1); 0 draws the best one.
 */
export function drawByCost<T extends CostedChoice>(
  choices: readonly T[],
  draw: number,
): T | undefined {
  const sorted = [...choices].sort((a, b) => a.cost - b.cost);
  const [best] = sorted;
  if (best === undefined) return undefined;
  const weights = sorted.map(({ cost }) =>
    Math.exp((best.cost - cost) / best.uncertainty)
  );
  let left = draw * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, choice] of sorted.entries()) {
    left -= weights[index] ?? 0;
    if (left < 0) return choice;
  }
  return best;
}
