/** Payloads with texts that encodings tend to change. */

const byteOrderMark = '\uFEFF';
/** Longer than texts that decoders handle in another way than long ones. */
const blanks = ' '.repeat(100);
/** A number may have these around it, as they count as white space. */
const margins = [
	['', ''],
	[byteOrderMark, ''],
	[byteOrderMark, blanks],
	[byteOrderMark.repeat(2), blanks],
	['\u2028', `\u2029${blanks}\u3000`],
	['', byteOrderMark],
] as const;
/** Unpaired surrogates, which no number may have beside it. */
const surrogates = [['\uD83D', ''], ['', '\uDE00'], [`${byteOrderMark}\uDE00\uD83D`, blanks]] as const;

/** Returns the payload of a job in another form with the same meaning for workers, in turn by the job's number. */
export function varyPayload(payload: string, job: number): string {
	const forms = Number.isFinite(Number(payload)) ? margins : surrogates;
	const [before, after] = forms[job % forms.length]!;
	return before + payload + after;
}
