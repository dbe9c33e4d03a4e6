/** Polling for a condition in real time. */

const checkMilliseconds = 10;
/** Stops a test whose condition never holds. */
const maximumChecks = 3000;

/** Resolves once the condition holds; throws if it does not hold within 30 s of waiting. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let checks = 0; checks < maximumChecks; checks += 1) {
		if (condition()) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, checkMilliseconds);
		});
	}

	throw new Error(`condition not met after ${maximumChecks} checks: ${condition.toString()}`);
}
