/** What differs between two profiles. */

type Tree = Readonly<Record<string, unknown>>;

/** Lines like `limits.tasksInFlight: 10 → 20`; nothing where the two say the same. */
export function profileDifference(before: unknown, after: unknown, path = ''): readonly string[] {
	if (isTree(before) && isTree(after)) {
		const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
		return keys.flatMap(key => profileDifference(before[key], after[key], path === '' ? key : `${path}.${key}`));
	}

	const [left, right] = [shown(before), shown(after)];
	return left === right ? [] : [`${path}: ${left} → ${right}`];
}

function isTree(value: unknown): value is Tree {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function shown(value: unknown): string {
	return value === undefined ? '(none)' : JSON.stringify(value);
}
