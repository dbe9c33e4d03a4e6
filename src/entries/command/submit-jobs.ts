/** Submits jobs that are read as JSON lines. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createInterface} from 'node:readline';
import {request} from 'undici';
import {parseJson} from '../../base/parse-json.js';
import {exitCode} from './exit-code.js';

const maxConcurrentJobs = 64;
/** Reported when the connection failed after the job may have been received. */
const unknownOutcomeStatus = 504;

type Result = {readonly line: number; readonly status: number; readonly verdict: string; readonly milliseconds: number; readonly body: unknown};

/** Prints a JSON line for each job once it is answered, and returns the exit code of the worst verdict. */
export async function submitJobs(entryUrl: string, input: NodeJS.ReadableStream, print: (line: string) => void): Promise<number> {
	const running = new Set<Promise<void>>();
	let worst: number = exitCode.done;
	let line = 0;
	const report = async (submitted: Promise<Result>) => {
		const result = await submitted;
		print(JSON.stringify(result));
		worst = Math.max(worst, codeOf(result));
	};

	const removeWhenDone = async (job: Promise<void>) => {
		await job;
		running.delete(job);
	};

	// Each byte as a character: lines end nowhere else than at line breaks, and each of them is checked to be UTF-8.
	input.setEncoding('latin1');
	for await (const text of createInterface({input})) {
		line += 1;
		if (text.trim() === '') {
			continue;
		}

		const job = report(submitOne(entryUrl, text, line));
		running.add(job);
		void removeWhenDone(job);
		if (running.size >= maxConcurrentJobs) {
			await Promise.race(running);
		}
	}

	await Promise.all(running);
	return worst;
}

async function submitOne(entryUrl: string, text: string, line: number): Promise<Result> {
	let job: {readonly id?: string};
	try {
		job = parseJson(Buffer.from(text, 'latin1')) as typeof job;
	} catch (error) {
		return {
			line, status: 0, verdict: 'not-run', milliseconds: 0, body: {detail: `the line isn't valid JSON: ${String(error)}`},
		};
	}

	const {id = randomUUID(), ...body} = job;
	const startedAt = performance.now();
	const elapsed = () => Math.round(performance.now() - startedAt);
	try {
		const response = await request(`${entryUrl}/v1/jobs`, {
			method: 'POST',
			headers: {'content-type': 'application/json', 'idempotency-key': `"${id}"`},
			body: JSON.stringify(body),
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		const verdict = String(response.headers['savorylock-verdict'] ?? 'may-have-run');
		const answer = parseJson(await response.body.bytes());
		return {
			line, status: response.statusCode, verdict, milliseconds: elapsed(), body: answer,
		};
	} catch (error) {
		const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
		return {
			line, status: isRefused ? 0 : unknownOutcomeStatus, verdict: isRefused ? 'not-run' : 'may-have-run', milliseconds: elapsed(), body: {id, detail: String(error)},
		};
	}
}

function codeOf({verdict, status}: Result): number {
	if (verdict === 'answered') {
		return status === 200 ? exitCode.done : exitCode.jobFailed;
	}

	return verdict === 'not-run' ? exitCode.jobNotRun : exitCode.jobMayHaveRun;
}
