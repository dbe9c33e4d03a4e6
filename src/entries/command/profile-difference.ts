/** Compares two profiles field by field. */

type JsonObject = Readonly<Record<string, unknown>>;

/** One line for each changed field, such as `limits.tasksInFlight: 10 → 20`; empty if there is none. */
export function profileDifference(before: unknown, after: unknown, path = ''): readonly string[] {
	if (isObject(before) && isObject(after)) {
		const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
		return keys.flatMap(key => profileDifference(before[key], after[key], path === '' ? key : `${path}.${key}`));
	}

	const [left, right] = [format(before), format(after)];
	return left === right ? [] : [`${path}: ${left} → ${right}`];
}

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function format(value: unknown): string {
	return value === undefined ? '(none)' : JSON.stringify(value);
}
