/** What the registry of submissions costs. */
import {benchCases} from './bench-cases.js';
import type {BenchOptions} from './bench-options.js';
import {runCase} from './run-case.js';

/** Runs the same jobs without the registry and with it, and prints what differs. */
export async function registryCost(options: BenchOptions, print: (line: string) => void): Promise<void> {
	const steady = benchCases.named('steady')!;
	const without = await runCase(steady, {...options, hasRegistry: false});
	const including = await runCase(steady, {...options, hasRegistry: true});
	print('figure              without     with        difference');
	for (const metric of ['responseP50', 'responseP99', 'slowdownP50', 'slowdownP99', 'messagesPerTask', 'bytesPerTask', 'entryCpuShare'] as const) {
		const difference = including[metric] - without[metric];
		print(`${metric.padEnd(20)}${String(without[metric]).padEnd(12)}${String(including[metric]).padEnd(12)}${difference.toFixed(3)}`);
	}
}
